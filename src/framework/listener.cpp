#include "framework/listener.h"

#include "framework/coroutine.h"
#include "framework/logging.h"

namespace figplank::framework {
namespace {

/// Keeps the loop from spinning while accepts fail.
constexpr kj::Duration RetryDelay = 50 * kj::MILLISECONDS;

class retrying_receiver final : public kj::ConnectionReceiver {
public:
  retrying_receiver(kj::Own<kj::ConnectionReceiver> Receiver, kj::Timer &Timer)
      : Inner(kj::mv(Receiver)), Timer(Timer) {}
  KJ_DISALLOW_COPY(retrying_receiver);

  kj::Promise<kj::Own<kj::AsyncIoStream>> accept() override {
    return acceptWithRetries();
  }
  unsigned getPort() override { return Inner->getPort(); }

private:
  task<kj::Own<kj::AsyncIoStream>> acceptWithRetries() {
    kj::Own<kj::AsyncIoStream> Stream;
    while (Stream.get() == nullptr) {
      try {
        Stream = co_await Inner->accept();
      } catch (const kj::Exception &Exception) {
        logEvent(log_level::Warning, "accept_failed",
                 {{"error", Exception.getDescription().cStr()}});
      }
      if (Stream.get() == nullptr) {
        co_await Timer.afterDelay(RetryDelay);
      }
    }
    co_return kj::mv(Stream);
  }

  kj::Own<kj::ConnectionReceiver> Inner;
  kj::Timer &Timer;
};

} // namespace

kj::Own<kj::ConnectionReceiver>
retryFailedAccepts(kj::Own<kj::ConnectionReceiver> Receiver, kj::Timer &Timer) {
  return kj::heap<retrying_receiver>(kj::mv(Receiver), Timer);
}

} // namespace figplank::framework
