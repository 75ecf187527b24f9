#include "http/client.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <string>

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

/// A stream whose reads and writes end as the test decides, and in its order.
class scripted_stream final : public kj::AsyncIoStream {
public:
  /// Whether a write fails before it returns.
  bool FailsWritesAtOnce = false;

  /// Ends the next read with \p Bytes; none for the end of the connection.
  void endRead(const std::string &Bytes) {
    BytesOfRead = Bytes;
    Reads->fulfill();
  }
  void failRead() { Reads->reject(makeReset()); }
  /// Fails the write. Its caller learns of it \p Turns turns of the event loop
  /// later.
  void failWrite(unsigned Turns) {
    TurnsOfFailure = Turns;
    Writes->reject(makeReset());
  }
  void endWrite() { Writes->fulfill(); }

  kj::Promise<std::size_t> tryRead(void *Buffer, std::size_t,
                                   std::size_t) override {
    auto Pair = kj::newPromiseAndFulfiller<void>();
    Reads = kj::mv(Pair.fulfiller);
    return Pair.promise.then([this, Buffer]() {
      std::copy(BytesOfRead.begin(), BytesOfRead.end(),
                static_cast<char *>(Buffer));
      return BytesOfRead.size();
    });
  }
  kj::Promise<void>
  write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>>) override {
    if (FailsWritesAtOnce) {
      kj::throwFatalException(makeReset());
    }
    auto Pair = kj::newPromiseAndFulfiller<void>();
    Writes = kj::mv(Pair.fulfiller);
    return Pair.promise.catch_([this](kj::Exception &&Failure) {
      return delay(TurnsOfFailure).then([Failure = kj::mv(Failure)]() mutable {
        kj::throwFatalException(kj::mv(Failure));
      });
    });
  }
  kj::Promise<void> write(const void *, std::size_t) override {
    return kj::NEVER_DONE;
  }
  kj::Promise<void> whenWriteDisconnected() override { return kj::NEVER_DONE; }
  void shutdownWrite() override {}

private:
  static kj::Exception makeReset() {
    return KJ_EXCEPTION(DISCONNECTED, "reset by the server");
  }
  static kj::Promise<void> delay(unsigned Turns) {
    if (Turns == 0) {
      return kj::READY_NOW;
    }
    return kj::evalLater([Turns]() { return delay(Turns - 1); });
  }

  kj::Own<kj::PromiseFulfiller<void>> Reads;
  kj::Own<kj::PromiseFulfiller<void>> Writes;
  std::string BytesOfRead;
  unsigned TurnsOfFailure = 0;
};

/// An upload on a scripted stream.
struct scripted_upload {
  kj::AsyncIoContext Io = kj::setupAsyncIo();
  scripted_stream *Stream = nullptr;
  std::unique_ptr<client_connection> Connection;
  kj::Promise<exchange_result> Exchange = nullptr;

  explicit scripted_upload(bool FailsWritesAtOnce = false) {
    auto Scripted = kj::heap<scripted_stream>();
    Stream = Scripted.get();
    Stream->FailsWritesAtOnce = FailsWritesAtOnce;
    Connection = std::make_unique<client_connection>(
        kj::mv(Scripted), parser_limits(), Io.provider->getTimer());
    kj::Promise<exchange_result> Started =
        Connection->exchange({"POST", "/", {}, "upload", true},
                             [](const response &) { return true; });
    Exchange = Started.eagerlyEvaluate(nullptr);
    settle();
  }
  /// Lets run what is ready.
  void settle() {
    Io.provider->getTimer().afterDelay(0 * kj::SECONDS).wait(Io.waitScope);
  }
};

/// A response that the end of the connection ends.
const std::string WithoutLength = "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart";

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

TEST_GROUP(ClientUpload) {
  std::unique_ptr<scripted_upload> Upload = std::make_unique<scripted_upload>();

  /// Reads the head and a part of the body.
  void readPart() {
    Upload->Stream->endRead(WithoutLength);
    Upload->settle();
  }
  exchange_result result() {
    return Upload->Exchange.wait(Upload->Io.waitScope);
  }
};

// Guards against the part of an answer whose connection was reset that the
// client gets as a whole answer (MIXED). The write meets the reset and takes
// the socket's error, and the read after it returns 0 as at an orderly end.
TEST(ClientUpload, PartBeforeAResetOfTheWriteIsNotAResponse) {
  readPart();
  Upload->Stream->failWrite(0);
  Upload->settle();
  Upload->Stream->endRead("");
  CHECK_FALSE(result().FinalResponse.has_value());
  CHECK_FALSE(Upload->Connection->isUsable());
}

// The same where the exchange learns of the failed write after the read.
TEST(ClientUpload, ResetOfTheWriteThatIsToldLateCounts) {
  constexpr unsigned Turns = 50;
  readPart();
  Upload->Stream->failWrite(Turns);
  Upload->Stream->endRead("");
  CHECK_FALSE(result().FinalResponse.has_value());
}

TEST(ClientUpload, ResetBeforeTheResponseCountsToo) {
  Upload->Stream->failWrite(0);
  Upload->settle();
  readPart();
  Upload->Stream->endRead("");
  CHECK_FALSE(result().FinalResponse.has_value());
}

TEST(ClientUpload, PartBeforeAResetOfTheReadIsNotAResponse) {
  readPart();
  Upload->Stream->failRead();
  CHECK_FALSE(result().FinalResponse.has_value());
}

TEST(ClientUpload, ResponseWithoutLengthMayComeBeforeTheUploadHasEnded) {
  readPart();
  Upload->Stream->endRead("");
  exchange_result Result = result();
  CHECK(Result.FinalResponse.has_value());
  STRCMP_EQUAL("part", Result.FinalResponse->Body.text().c_str());
  CHECK_FALSE(Upload->Connection->isUsable());
}

TEST(ClientUpload, ResponseWithoutLengthMayComeAfterTheUpload) {
  Upload->Stream->endWrite();
  readPart();
  Upload->Stream->endRead("");
  STRCMP_EQUAL("part", result().FinalResponse->Body.text().c_str());
}

// A response that ends by itself is whole, whatever becomes of the upload.
TEST(ClientUpload, ResponseWithLengthIsWholeBesideAReset) {
  Upload->Stream->failWrite(0);
  Upload->settle();
  Upload->Stream->endRead(responseText("a", "own"));
  exchange_result Result = result();
  CHECK(Result.FinalResponse.has_value());
  STRCMP_EQUAL("own", Result.FinalResponse->Body.text().c_str());
  CHECK_FALSE(Upload->Connection->isUsable());
}

// Guards against an exchange that fails by an exception, since its connection
// was reset before the request was written, and counts as one that timed out.
TEST(ClientUpload, WriteThatFailsAtOnceIsAFailedWrite) {
  // A thread has one event loop.
  Upload.reset();
  Upload = std::make_unique<scripted_upload>(true);
  readPart();
  Upload->Stream->endRead("");
  CHECK_FALSE(result().FinalResponse.has_value());
  CHECK_FALSE(Upload->Connection->isUsable());
}
