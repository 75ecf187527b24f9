#include "framework/listener.h"

#include <CppUTest/TestHarness.h>

#include <kj/debug.h>

using namespace figplank::framework;

namespace {

/// A receiver whose first accepts fail.
class failing_receiver final : public kj::ConnectionReceiver {
public:
  explicit failing_receiver(unsigned Failures) : FailuresLeft(Failures) {}

  kj::Promise<kj::Own<kj::AsyncIoStream>> accept() override {
    if (FailuresLeft > 0) {
      --FailuresLeft;
      return KJ_EXCEPTION(FAILED, "no free descriptor");
    }
    kj::TwoWayPipe Pipe = kj::newTwoWayPipe();
    return kj::mv(Pipe.ends[0]);
  }
  unsigned getPort() override { return 0; }

private:
  unsigned FailuresLeft;
};

} // namespace

TEST_GROUP(Listener){};

TEST(Listener, FailedAcceptsAreRepeated) {
  kj::AsyncIoContext Io = kj::setupAsyncIo();
  kj::Own<kj::ConnectionReceiver> Receiver = retryFailedAccepts(
      kj::heap<failing_receiver>(2), Io.provider->getTimer());
  kj::Own<kj::AsyncIoStream> Stream = Receiver->accept().wait(Io.waitScope);
  CHECK(Stream.get() != nullptr);
}
