/// \file
/// A server and a client that are connected by a pipe, for tests.
#pragma once

#include "http/server.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace figplank::http::tests {

/// A handler that keeps requests pending until the test responds to them. All
/// members identify a request by its target.
struct fake_handler {
  std::vector<std::string> Started;
  std::vector<std::string> Cancelled;
  std::set<std::string> Responded;
  std::map<std::string, kj::Own<kj::PromiseFulfiller<response>>> Pending;

  kj::Promise<response> handle(const request &Request) {
    Started.push_back(Request.Target);
    auto Pair = kj::newPromiseAndFulfiller<response>();
    Pending[Request.Target] = kj::mv(Pair.fulfiller);
    std::string Target = Request.Target;
    return Pair.promise.attach(kj::defer([this, Target]() {
      if (!Responded.contains(Target)) {
        Cancelled.push_back(Target);
      }
    }));
  }

  void respond(const std::string &Target, const std::string &Body) {
    Responded.insert(Target);
    response Response;
    Response.Status = 200;
    Response.Body = Body;
    Pending[Target]->fulfill(kj::mv(Response));
  }
};

inline std::string getRequestText(const std::string &Target) {
  return "GET " + Target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

/// A server and a client that are connected by a pipe.
struct server_session {
  kj::AsyncIoContext Io = kj::setupAsyncIo();
  fake_handler Handler;
  framework::memory_account Account;
  std::vector<connection_record> Ends;
  server Server{
      Io.provider->getTimer(),
      [this](const request &Request) { return Handler.handle(Request); },
      Account,
      {[](const request &Request) { return Request.Target; },
       [this](const connection_record &Record) { Ends.push_back(Record); }}};
  kj::TwoWayPipe Pipe = kj::newTwoWayPipe();
  kj::Promise<void> Serving =
      Server.serveStream(kj::mv(Pipe.ends[0])).eagerlyEvaluate(nullptr);

  void send(const std::string &Text) {
    Pipe.ends[1]->write(Text.data(), Text.size()).wait(Io.waitScope);
  }
  void runEventLoop() {
    Io.provider->getTimer().afterDelay(2 * kj::MILLISECONDS).wait(Io.waitScope);
  }
  /// Returns the bytes that have arrived at the client.
  std::string received() {
    char Buffer[4096];
    kj::Promise<std::size_t> Reading =
        Pipe.ends[1]->tryRead(Buffer, 1, sizeof Buffer);
    if (!Reading.poll(Io.waitScope)) {
      return "";
    }
    return {Buffer, Reading.wait(Io.waitScope)};
  }
};

} // namespace figplank::http::tests
