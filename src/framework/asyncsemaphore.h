/// \file
/// A counting semaphore for coroutines that run on the same event loop.
#pragma once

#include "framework/coroutine.h"

#include <cstddef>
#include <deque>

namespace figplank::framework {

class async_semaphore {
public:
  explicit async_semaphore(std::size_t Slots) : Slots(Slots) {}
  KJ_DISALLOW_COPY(async_semaphore);

  /// Resolves once the caller holds a slot. Callers are served in FIFO order.
  task<void> acquire() {
    if (SlotsInUse < Slots) {
      ++SlotsInUse;
      co_return;
    }
    auto Pair = kj::newPromiseAndFulfiller<void>();
    Waiters.push_back(kj::mv(Pair.fulfiller));
    co_await kj::mv(Pair.promise);
  }

  /// Passes the slot to the caller that has waited longest, or frees it if
  /// nobody waits.
  void release() {
    while (!Waiters.empty()) {
      kj::Own<kj::PromiseFulfiller<void>> Next = kj::mv(Waiters.front());
      Waiters.pop_front();
      if (Next->isWaiting()) {
        Next->fulfill();
        return;
      }
    }
    --SlotsInUse;
  }

  bool hasFreeSlot() const { return SlotsInUse < Slots; }
  std::size_t waiterCount() const { return Waiters.size(); }
  /// Removes all waiters; their promises are rejected.
  void rejectWaiters() { Waiters.clear(); }

private:
  std::size_t Slots;
  std::size_t SlotsInUse = 0;
  std::deque<kj::Own<kj::PromiseFulfiller<void>>> Waiters;
};

} // namespace figplank::framework
