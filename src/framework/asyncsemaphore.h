/// \file
/// A counting semaphore for promises of one event loop.
#pragma once

#include "framework/coroutine.h"

#include <cstddef>
#include <deque>

namespace figplank::framework {

class async_semaphore {
public:
  explicit async_semaphore(std::size_t Slots) : Slots(Slots) {}
  KJ_DISALLOW_COPY(async_semaphore);

  /// Resolves once a slot has been taken.
  task<void> acquire() {
    if (Taken < Slots) {
      ++Taken;
      co_return;
    }
    auto Pair = kj::newPromiseAndFulfiller<void>();
    Waiting.push_back(kj::mv(Pair.fulfiller));
    co_await kj::mv(Pair.promise);
  }

  /// Gives a slot to the one that has waited longest, or back.
  void release() {
    while (!Waiting.empty()) {
      kj::Own<kj::PromiseFulfiller<void>> Next = kj::mv(Waiting.front());
      Waiting.pop_front();
      if (Next->isWaiting()) {
        Next->fulfill();
        return;
      }
    }
    --Taken;
  }

  bool hasFreeSlot() const { return Taken < Slots; }
  std::size_t waiting() const { return Waiting.size(); }
  /// Forgets those that wait; their promises are rejected.
  void dropWaiting() { Waiting.clear(); }

private:
  std::size_t Slots;
  std::size_t Taken = 0;
  std::deque<kj::Own<kj::PromiseFulfiller<void>>> Waiting;
};

} // namespace figplank::framework
