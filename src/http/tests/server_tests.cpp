#include "http/server.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <set>

using namespace figplank;
using namespace figplank::http;

namespace {

/// A handler whose answers the test gives, by target.
struct fake_handler {
  std::vector<std::string> Started;
  std::vector<std::string> Cancelled;
  std::set<std::string> Answered;
  std::map<std::string, kj::Own<kj::PromiseFulfiller<response>>> Open;

  kj::Promise<response> handle(const request &Request) {
    Started.push_back(Request.Target);
    auto Pair = kj::newPromiseAndFulfiller<response>();
    Open[Request.Target] = kj::mv(Pair.fulfiller);
    std::string Target = Request.Target;
    return Pair.promise.attach(kj::defer([this, Target]() {
      if (!Answered.contains(Target)) {
        Cancelled.push_back(Target);
      }
    }));
  }

  void answer(const std::string &Target, const std::string &Body) {
    Answered.insert(Target);
    response Response;
    Response.Status = 200;
    Response.Body = Body;
    Open[Target]->fulfill(kj::mv(Response));
  }
};

std::string getText(const std::string &Target) {
  return "GET " + Target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

/// A server and one client at the two ends of a pipe.
struct server_session {
  kj::AsyncIoContext Io = kj::setupAsyncIo();
  fake_handler Handler;
  server Server{Io.provider->getTimer(), [this](const request &Request) {
                  return Handler.handle(Request);
                }};
  kj::TwoWayPipe Pipe = kj::newTwoWayPipe();
  kj::Promise<void> Serving =
      Server.serveStream(kj::mv(Pipe.ends[0])).eagerlyEvaluate(nullptr);

  void send(const std::string &Text) {
    Pipe.ends[1]->write(Text.data(), Text.size()).wait(Io.waitScope);
  }
  void turn() {
    Io.provider->getTimer().afterDelay(2 * kj::MILLISECONDS).wait(Io.waitScope);
  }
  /// What has arrived at the client; empty if nothing has.
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

} // namespace

TEST_GROUP(Server) {
  std::unique_ptr<server_session> Session = std::make_unique<server_session>();
  fake_handler &Handler = Session->Handler;
  server &Server = Session->Server;

  void send(const std::string &Text) { Session->send(Text); }
  void turn() { Session->turn(); }
  std::string received() { return Session->received(); }
};

TEST(Server, PipelinedRequestsStartAtOnceAndAreAnsweredInOrder) {
  send(getText("/slow") + getText("/fast"));
  turn();
  LONGS_EQUAL(2, Handler.Started.size());
  Handler.answer("/fast", "second");
  turn();
  STRCMP_EQUAL("", received().c_str());
  Handler.answer("/slow", "first");
  std::string Text;
  for (int I = 0; I < 5; ++I) {
    turn();
    Text += received();
  }
  std::size_t First = Text.find("first");
  std::size_t Second = Text.find("second");
  CHECK(First != std::string::npos && Second != std::string::npos);
  CHECK(First < Second);
}

TEST(Server, ClientThatLeavesCancelsItsRequests) {
  send(getText("/one") + getText("/two"));
  turn();
  Session->Pipe.ends[1] = nullptr;
  turn();
  LONGS_EQUAL(2, Handler.Cancelled.size());
  LONGS_EQUAL(0, Server.openConnections());
  LONGS_EQUAL(0, Server.unanswered());
}

TEST(Server, ClosingAnnouncesTheEndOnTheLastAnswer) {
  send(getText("/one"));
  turn();
  Server.closeConnections();
  LONGS_EQUAL(1, Server.openConnections());
  Handler.answer("/one", "whole");
  turn();
  std::string Text = received();
  CHECK(Text.find("Connection: close") != std::string::npos);
  CHECK(Text.find("whole") != std::string::npos);
}

TEST(Server, MalformedRequestIsAnsweredAndClosed) {
  send("NOT HTTP\r\n\r\n");
  turn();
  std::string Text = received();
  CHECK(Text.starts_with("HTTP/1.1 400 "));
  CHECK(Text.find("Connection: close") != std::string::npos);
}

TEST(Server, HeadThatTakesTooLongIsAnswered408) {
  server_limits Limits;
  Limits.HeaderTimeout = framework::milliseconds(5);
  Server.setLimits(Limits);
  send("GET /slow HTTP/1.1\r\nHos");
  for (int I = 0; I < 10; ++I) {
    turn();
  }
  CHECK(received().starts_with("HTTP/1.1 408 "));
}
