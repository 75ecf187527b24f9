#include "serversession.h"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace figplank;
using namespace figplank::http;
using namespace figplank::http::tests;

TEST_GROUP(Server) {
  std::unique_ptr<server_session> Session = std::make_unique<server_session>();
  fake_handler &Handler = Session->Handler;
  server &Server = Session->Server;

  void send(const std::string &Text) { Session->send(Text); }
  void runEventLoop() { Session->runEventLoop(); }
  void wait(int Milliseconds) {
    Session->Io.provider->getTimer()
        .afterDelay(Milliseconds * kj::MILLISECONDS)
        .wait(Session->Io.waitScope);
  }
  std::string received() { return Session->received(); }
  /// Returns the bytes that arrive within several turns of the event loop.
  std::string receivedInTurns() {
    std::string Text;
    for (int I = 0; I < 5; ++I) {
      runEventLoop();
      Text += received();
    }
    return Text;
  }
};

TEST(Server, PipelinedRequestsStartAtOnceAndGetResponsesInOrder) {
  send(getRequestText("/slow") + getRequestText("/fast"));
  runEventLoop();
  LONGS_EQUAL(2, Handler.Started.size());
  Handler.respond("/fast", "second");
  runEventLoop();
  STRCMP_EQUAL("", received().c_str());
  Handler.respond("/slow", "first");
  std::string Text = receivedInTurns();
  std::size_t First = Text.find("first");
  std::size_t Second = Text.find("second");
  CHECK(First != std::string::npos && Second != std::string::npos);
  CHECK(First < Second);
}

TEST(Server, ResponseToHeadHasContentLengthButNoBody) {
  send("HEAD /one HTTP/1.1\r\n\r\n" + getRequestText("/two"));
  runEventLoop();
  Handler.respond("/one", "abc");
  Handler.respond("/two", "second");
  std::string Text = receivedInTurns();
  CHECK(Text.starts_with("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
                         "HTTP/1.1 200 OK\r\n"));
  CHECK(Text.ends_with("second"));
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

// Guards against a planned stop that cuts off pipelined requests which run
// behind the first response (review case 4, LOST).
TEST(Server, ShutdownAnswersAllPipelinedRequestsAndClosesWithTheLast) {
  send(getRequestText("/one") + getRequestText("/two") +
       getRequestText("/three"));
  runEventLoop();
  Server.drainConnections();
  Handler.respond("/two", "second");
  Handler.respond("/one", "first");
  std::string Text = receivedInTurns();
  CHECK(Text.find("second") != std::string::npos);
  CHECK(Text.find("Connection: close") == std::string::npos);
  Handler.respond("/three", "third");
  Text = receivedInTurns();
  CHECK(Text.find("third") != std::string::npos);
  CHECK(Text.find("Connection: close") != std::string::npos);
  LONGS_EQUAL(0, Handler.Cancelled.size());
}

TEST(Server, ShutdownAnswersRequestsThatWereReadBeyondThePipeline) {
  server_limits Limits;
  Limits.MaxPipelined = 1;
  Server.setLimits(Limits);
  send(getRequestText("/one") + getRequestText("/two"));
  runEventLoop();
  Server.drainConnections();
  Handler.respond("/one", "first");
  std::string Text = receivedInTurns();
  CHECK(Text.find("Connection: close") == std::string::npos);
  LONGS_EQUAL(2, Handler.Started.size());
  Handler.respond("/two", "second");
  Text = receivedInTurns();
  CHECK(Text.find("second") != std::string::npos);
  CHECK(Text.find("Connection: close") != std::string::npos);
}

TEST(Server, RequestThatIsHalfReadAtShutdownIsAnswered) {
  send(getRequestText("/one") + "GET /two HTTP/1.1\r\nHo");
  runEventLoop();
  Server.drainConnections();
  Handler.respond("/one", "first");
  std::string Text = receivedInTurns();
  CHECK(Text.find("Connection: close") == std::string::npos);
  send("st: h\r\n\r\n" + getRequestText("/three"));
  runEventLoop();
  LONGS_EQUAL(2, Handler.Started.size());
  Handler.respond("/two", "second");
  Text = receivedInTurns();
  CHECK(Text.find("second") != std::string::npos);
  CHECK(Text.find("Connection: close") != std::string::npos);
  LONGS_EQUAL(2, Handler.Started.size());
}

// Guards against a request that is passed on behind the response that closes
// its connection, and is cut off with it (LOST).
TEST(Server, RequestsSentAfterShutdownAreNotStarted) {
  send(getRequestText("/one"));
  runEventLoop();
  Server.drainConnections();
  send(getRequestText("/late"));
  runEventLoop();
  LONGS_EQUAL(1, Handler.Started.size());
  Handler.respond("/one", "whole");
  CHECK(receivedInTurns().find("Connection: close") != std::string::npos);
  LONGS_EQUAL(1, Handler.Started.size());
}

// Guards against the same for a request that crosses the close of its idle
// connection: it is either not started, or answered.
TEST(Server, RequestThatCrossesTheCloseOfAnIdleConnectionIsNotStarted) {
  send(getRequestText("/one"));
  runEventLoop();
  Handler.respond("/one", "whole");
  (void)receivedInTurns();
  std::string Late = getRequestText("/late");
  kj::Promise<void> Sending =
      Session->Pipe.ends[1]->write(Late.data(), Late.size());
  Server.drainConnections();
  Sending.wait(Session->Io.waitScope);
  runEventLoop();
  LONGS_EQUAL(1, Handler.Started.size());
}

TEST(Server, ShutdownServesTheFirstRequestOfANewConnectionOnly) {
  runEventLoop();
  Server.drainConnections();
  runEventLoop();
  send(getRequestText("/first") + getRequestText("/second"));
  runEventLoop();
  LONGS_EQUAL(1, Handler.Started.size());
  Handler.respond("/first", "whole");
  CHECK(receivedInTurns().find("Connection: close") != std::string::npos);
}

TEST(Server, NewConnectionWithoutARequestIsClosedWhenNoneIsAwaitedAnyMore) {
  runEventLoop();
  Server.drainConnections();
  runEventLoop();
  LONGS_EQUAL(1, Server.openConnections());
  Server.closeUnusedConnections();
  char Byte = 0;
  LONGS_EQUAL(
      0,
      Session->Pipe.ends[1]->tryRead(&Byte, 1, 1).wait(Session->Io.waitScope));
}

// Guards against one failed request that ends its connection while other
// requests of it run (LOST).
TEST(Server, FailedHandlerEndsNoOtherRequestOfItsConnection) {
  send(getRequestText("/fails") + getRequestText("/two"));
  runEventLoop();
  Handler.Responded.insert("/fails");
  Handler.Pending["/fails"]->reject(KJ_EXCEPTION(FAILED, "injected"));
  CHECK(receivedInTurns().find("HTTP/1.1 502 ") != std::string::npos);
  Handler.respond("/two", "second");
  CHECK(receivedInTurns().find("second") != std::string::npos);
  LONGS_EQUAL(0, Handler.Cancelled.size());
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

// Guards against a connection that is closed soon after a slow response, though
// its client may reuse it for the whole idle time.
TEST(Server, IdleTimeCountsFromTheLastResponse) {
  server_limits Limits;
  Limits.IdleTimeout = framework::milliseconds(400);
  Server.setLimits(Limits);
  send(getRequestText("/slow"));
  wait(300);
  Handler.respond("/slow", "whole");
  CHECK(receivedInTurns().find("whole") != std::string::npos);
  wait(200);
  send(getRequestText("/next"));
  runEventLoop();
  LONGS_EQUAL(2, Handler.Started.size());
  Handler.respond("/next", "whole");
  (void)receivedInTurns();
  char Byte = 0;
  LONGS_EQUAL(
      0,
      Session->Pipe.ends[1]->tryRead(&Byte, 1, 1).wait(Session->Io.waitScope));
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
