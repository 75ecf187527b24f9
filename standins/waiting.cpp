#include "standins/waiting.h"

#include <thread>

namespace figplank::standins {

bool eventually(const std::function<bool()> &Condition,
                std::chrono::milliseconds Timeout) {
  constexpr std::chrono::milliseconds Pause{20};
  auto End = std::chrono::steady_clock::now() + Timeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End) {
      return false;
    }
    std::this_thread::sleep_for(Pause);
  }
  return true;
}

} // namespace figplank::standins
