#include "http/client.h"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace figplank::http;

namespace {

std::string responseText(const std::string &Id, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nId: " + Id +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

response_filter acceptsOnly(const std::string &Id) {
  return [Id](const response &Response) {
    return findHeader(Response.Headers, "Id") == Id;
  };
}

/// A client connection whose server side is controlled by the test.
struct client_session {
  kj::AsyncIoContext Io = kj::setupAsyncIo();
  kj::TwoWayPipe Pipe = kj::newTwoWayPipe();
  client_connection Connection{
      kj::mv(Pipe.ends[0]), {}, Io.provider->getTimer()};

  /// Starts an exchange, replies with \p Text, and then closes the server side
  /// if \p Close is set. Returns the result of the exchange.
  exchange_result exchange(const std::string &Id, const std::string &Text,
                           bool Close) {
    kj::Promise<exchange_result> Exchange =
        Connection.exchange({"GET", "/", {}, "", true}, acceptsOnly(Id));
    char Buffer[1024];
    Pipe.ends[1]->tryRead(Buffer, 1, sizeof Buffer).wait(Io.waitScope);
    kj::Promise<void> Writing =
        Pipe.ends[1]->write(Text.data(), Text.size()).eagerlyEvaluate(nullptr);
    if (Close) {
      kj::Promise<exchange_result> StartedExchange =
          Exchange.eagerlyEvaluate(nullptr);
      (void)Writing.poll(Io.waitScope);
      Pipe.ends[1]->shutdownWrite();
      return StartedExchange.wait(Io.waitScope);
    }
    return Exchange.wait(Io.waitScope);
  }
};

} // namespace

TEST_GROUP(Client) {
  std::unique_ptr<client_session> Session = std::make_unique<client_session>();
  client_connection &Connection = Session->Connection;

  exchange_result exchange(const std::string &Id, const std::string &Text,
                           bool Close) {
    return Session->exchange(Id, Text, Close);
  }
};

TEST(Client, LateResponseToAnotherRequestIsDiscarded) {
  exchange_result Result = exchange(
      "b", responseText("a", "stray") + responseText("b", "own"), false);
  CHECK(Result.FinalResponse.has_value());
  STRCMP_EQUAL("own", Result.FinalResponse->Body.text().c_str());
  CHECK(Connection.isUsable());
}

TEST(Client, BytesAfterTheResponseMakeTheConnectionUnusable) {
  exchange_result Result =
      exchange("a", responseText("a", "own") + "extra", false);
  STRCMP_EQUAL("own", Result.FinalResponse->Body.text().c_str());
  CHECK_FALSE(Connection.isUsable());
}

TEST(Client, TruncatedResponseIsNotReturned) {
  exchange_result Result = exchange(
      "a", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\npart", true);
  CHECK_FALSE(Result.FinalResponse.has_value());
  CHECK(Result.AnyBytesRead);
}

TEST(Client, ResponseWithoutLengthEndsWithTheConnection) {
  exchange_result Result =
      exchange("a", "HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it", true);
  STRCMP_EQUAL("all of it", Result.FinalResponse->Body.text().c_str());
  CHECK_FALSE(Connection.isUsable());
}

TEST(Client, IdleConnectionClosedByTheServerIsUnusable) {
  (void)exchange("a", responseText("a", "own"), false);
  Connection.watchIdle();
  Session->Pipe.ends[1] = nullptr;
  Session->Io.provider->getTimer()
      .afterDelay(2 * kj::MILLISECONDS)
      .wait(Session->Io.waitScope);
  CHECK_FALSE(Connection.isUsable());
}

TEST(Client, InterimResponsesWithoutEndFailTheExchange) {
  std::string Text;
  for (int I = 0; I < 100; ++I) {
    Text += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  exchange_result Result =
      exchange("a", Text + responseText("a", "own"), false);
  CHECK_FALSE(Result.FinalResponse.has_value());
  CHECK_FALSE(Connection.isUsable());
}

// Guards against a status 000 that is taken for an interim response or for an
// answer (MIXED).
TEST(Client, StatusThatHttpDoesNotHaveFailsTheExchange) {
  for (const char *Status : {"000", "099", "600", "999"}) {
    std::string Text = responseText("a", "own");
    Text.replace(Text.find("200"), 3, Status);
    // An event loop ends before the next one of its thread begins.
    Session = nullptr;
    Session = std::make_unique<client_session>();
    exchange_result Result =
        Session->exchange("a", Text + responseText("a", "later"), false);
    CHECK_FALSE(Result.FinalResponse.has_value());
    CHECK_FALSE(Session->Connection.isUsable());
  }
}
