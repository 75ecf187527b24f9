#include "standins/loopthread.h"

#include "framework/kjlog.h"

#include <kj/debug.h>

namespace figplank::standins {

loop_thread::loop_thread() {
  std::promise<void> Started;
  Thread = std::thread([this, &Started]() { runEventLoop(Started); });
  Started.get_future().wait();
}

loop_thread::~loop_thread() {
  run([this]() { StopFulfiller->fulfill(); });
  Thread.join();
}

void loop_thread::runEventLoop(std::promise<void> &Started) {
  framework::kj_log_router KjLog;
  kj::AsyncIoContext Context = kj::setupAsyncIo();
  Io = &Context;
  Executor = kj::getCurrentThreadExecutor();
  auto Pair = kj::newPromiseAndFulfiller<void>();
  StopFulfiller = kj::mv(Pair.fulfiller);
  Started.set_value();
  Pair.promise.wait(Context.waitScope);
}

void loop_thread::run(const std::function<void()> &Work) {
  KJ_ASSERT_NONNULL(Executor).executeSync([&Work]() { Work(); });
}

void loop_thread::await(const std::function<kj::Promise<void>()> &Work) {
  KJ_ASSERT_NONNULL(Executor).executeSync([&Work]() { return Work(); });
}

} // namespace figplank::standins
