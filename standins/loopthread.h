/// \file
/// A thread with a KJ event loop of its own, for stand-ins that live inside
/// a test or benchmark.
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

  /// Runs \p Work on the loop's thread and waits for it.
  void run(const std::function<void()> &Work);

  /// Runs \p Work on the loop's thread and waits for its promise.
  void await(const std::function<kj::Promise<void>()> &Work);

  /// Valid on the loop's thread.
  kj::AsyncIoContext &io() { return *Io; }

private:
  void loop(std::promise<void> &Started);

  kj::AsyncIoContext *Io = nullptr;
  kj::Maybe<const kj::Executor &> Executor;
  kj::Own<kj::PromiseFulfiller<void>> Stop;
  std::thread Thread;
};

} // namespace figplank::standins
