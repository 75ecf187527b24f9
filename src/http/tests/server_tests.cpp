#include "http/server.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <set>

using namespace figplank;
using namespace figplank::http;

namespace {

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

std::string getRequestText(const std::string &Target) {
  return "GET " + Target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

/// A server and a client that are connected by a pipe.
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

} // namespace

TEST_GROUP(Server) {
  std::unique_ptr<server_session> Session = std::make_unique<server_session>();
  fake_handler &Handler = Session->Handler;
  server &Server = Session->Server;

  void send(const std::string &Text) { Session->send(Text); }
  void runEventLoop() { Session->runEventLoop(); }
  std::string received() { return Session->received(); }
};

TEST(Server, PipelinedRequestsStartAtOnceAndGetResponsesInOrder) {
  send(getRequestText("/slow") + getRequestText("/fast"));
  runEventLoop();
  LONGS_EQUAL(2, Handler.Started.size());
  Handler.respond("/fast", "second");
  runEventLoop();
  STRCMP_EQUAL("", received().c_str());
  Handler.respond("/slow", "first");
  std::string Text;
  for (int I = 0; I < 5; ++I) {
    runEventLoop();
    Text += received();
  }
  std::size_t First = Text.find("first");
  std::size_t Second = Text.find("second");
  CHECK(First != std::string::npos && Second != std::string::npos);
  CHECK(First < Second);
}

TEST(Server, ClosingTheConnectionCancelsItsRequests) {
  send(getRequestText("/one") + getRequestText("/two"));
  runEventLoop();
  Session->Pipe.ends[1] = nullptr;
  runEventLoop();
  LONGS_EQUAL(2, Handler.Cancelled.size());
  LONGS_EQUAL(0, Server.openConnections());
  LONGS_EQUAL(0, Server.pendingRequests());
}

TEST(Server, ShutdownSendsConnectionCloseWithTheLastResponse) {
  send(getRequestText("/one"));
  runEventLoop();
  Server.drainConnections();
  LONGS_EQUAL(1, Server.openConnections());
  Handler.respond("/one", "whole");
  runEventLoop();
  std::string Text = received();
  CHECK(Text.find("Connection: close") != std::string::npos);
  CHECK(Text.find("whole") != std::string::npos);
}

TEST(Server, MalformedRequestGets400AndConnectionClose) {
  send("NOT HTTP\r\n\r\n");
  runEventLoop();
  std::string Text = received();
  CHECK(Text.starts_with("HTTP/1.1 400 "));
  CHECK(Text.find("Connection: close") != std::string::npos);
}

TEST(Server, IncompleteHeadersTimeOutWith408) {
  server_limits Limits;
  Limits.HeaderTimeout = framework::milliseconds(5);
  Server.setLimits(Limits);
  send("GET /slow HTTP/1.1\r\nHos");
  for (int I = 0; I < 10; ++I) {
    runEventLoop();
  }
  CHECK(received().starts_with("HTTP/1.1 408 "));
}

TEST(Server, HeadersThatTrickleInTimeOutAsAWhole) {
  server_limits Limits;
  Limits.HeaderTimeout = framework::milliseconds(20);
  Server.setLimits(Limits);
  send("GET /slow HTTP/1.1\r\nX: ");
  std::string Text;
  for (int I = 0; I < 40 && Text.empty(); ++I) {
    send("x");
    runEventLoop();
    Text = received();
  }
  CHECK(Text.starts_with("HTTP/1.1 408 "));
}

TEST(Server, OneReadStartsAtMostTheRequestsThatMayBePending) {
  server_limits Limits;
  Limits.MaxPipelined = 2;
  Server.setLimits(Limits);
  send(getRequestText("/1") + getRequestText("/2") + getRequestText("/3"));
  runEventLoop();
  LONGS_EQUAL(2, Handler.Started.size());
  Handler.respond("/1", "first");
  for (int I = 0; I < 5; ++I) {
    runEventLoop();
    (void)received();
  }
  LONGS_EQUAL(3, Handler.Started.size());
}
