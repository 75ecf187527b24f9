/// \file
/// Work that other threads hand to the event loop.
#pragma once

#include <functional>
#include <mutex>
#include <vector>

namespace figplank::node {

class mailbox {
public:
  /// Called by any thread.
  void post(std::function<void()> Work) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Waiting.push_back(std::move(Work));
  }

  /// Called by the loop's thread; runs what was posted.
  void drain() {
    std::vector<std::function<void()>> Taken;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Taken.swap(Waiting);
    }
    for (const std::function<void()> &Work : Taken) {
      Work();
    }
  }

private:
  std::mutex Mutex;
  std::vector<std::function<void()>> Waiting;
};

} // namespace figplank::node
