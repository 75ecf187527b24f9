/// \file
/// A thread that runs a KJ event loop, for stand-ins in the process of a test
/// or benchmark.
#pragma once

#include <kj/async-io.h>

#include <functional>
#include <future>
#include <thread>

namespace figplank::standins {

class loop_thread {
public:
  loop_thread();
  ~loop_thread();
  loop_thread(const loop_thread &) = delete;
  loop_thread &operator=(const loop_thread &) = delete;

  /// Calls \p Work on the event loop thread and blocks until it returns.
  void run(const std::function<void()> &Work);

  /// Calls \p Work on the event loop thread and blocks until the promise that
  /// it returns is resolved.
  void await(const std::function<kj::Promise<void>()> &Work);

  /// May be called only on the event loop thread.
  kj::AsyncIoContext &io() { return *Io; }

private:
  void runEventLoop(std::promise<void> &Started);

  kj::AsyncIoContext *Io = nullptr;
  kj::Maybe<const kj::Executor &> Executor;
  kj::Own<kj::PromiseFulfiller<void>> StopFulfiller;
  std::thread Thread;
};

} // namespace figplank::standins
