/// \file
/// Queue by which other threads run functions on the event loop.
#pragma once

#include "framework/logging.h"

#include <exception>
#include <functional>
#include <mutex>
#include <vector>

namespace figplank::node {

class mailbox {
public:
  /// Queues \p Function. Any thread may call this.
  void post(std::function<void()> Function) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Pending.push_back(std::move(Function));
  }

  /// Runs the queued functions. Called on the event loop's thread. An exception
  /// of one function is logged and does not keep the others from running.
  void drain() {
    std::vector<std::function<void()>> Functions;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Functions.swap(Pending);
    }
    for (const std::function<void()> &Function : Functions) {
      try {
        Function();
      } catch (const std::exception &Exception) {
        framework::logEvent(framework::log_level::Error, "posted_task_failed",
                            {{"error", Exception.what()}});
      }
    }
  }

private:
  std::mutex Mutex;
  std::vector<std::function<void()>> Pending;
};

} // namespace figplank::node
