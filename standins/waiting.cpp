#include "standins/waiting.h"

#include <thread>

namespace figplank::standins {

bool eventually(const std::function<bool()> &Condition,
                std::chrono::milliseconds Timeout) {
  constexpr std::chrono::milliseconds PollInterval{20};
  auto Deadline = std::chrono::steady_clock::now() + Timeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > Deadline) {
      return false;
    }
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

} // namespace figplank::standins
