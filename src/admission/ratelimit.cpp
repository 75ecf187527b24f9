#include "admission/ratelimit.h"

#include <algorithm>

namespace figplank::admission {
namespace {

using framework::microseconds;
using framework::monotonic_time;

/// Tokens at \p Now.
double tokensAt(const rate_limit &Limit, monotonic_time Now) {
  double Max = std::max(
      1.0, *Limit.PerSecond * framework::inSeconds(Limit.Settings.BurstTime));
  double Earned = *Limit.PerSecond * framework::inSeconds(Now - Limit.Refilled);
  return std::min(Max, Limit.Tokens + std::max(0.0, Earned));
}

} // namespace

void recordNamedLimit(rate_limit &Limit, std::optional<double> PerSecond,
                      monotonic_time Now) {
  if (!PerSecond) {
    // NOTE Answers of before may arrive late, so one without the limit does not
    // end it.
    if (Now - Limit.LastNamed > Limit.Settings.Lifetime) {
      Limit.PerSecond.reset();
    }
    return;
  }
  Limit.LastNamed = Now;
  Limit.Tokens = Limit.PerSecond ? tokensAt(Limit, Now) : 0.0;
  Limit.Refilled = Now;
  Limit.PerSecond = std::max(*PerSecond, Limit.Settings.MinPerSecond);
}

void clearLimit(rate_limit &Limit) { Limit.PerSecond.reset(); }

void recordRunTime(rate_limit &Limit, microseconds RunTime) {
  double Seconds = framework::inSeconds(RunTime);
  double Weight =
      Limit.RunSeconds > 0.0 ? Limit.Settings.RunTimeSmoothing : 1.0;
  Limit.RunSeconds += Weight * (Seconds - Limit.RunSeconds);
}

bool hasToken(const rate_limit &Limit, monotonic_time Now) {
  return !Limit.PerSecond || tokensAt(Limit, Now) >= 1.0;
}

void takeToken(rate_limit &Limit, monotonic_time Now) {
  if (Limit.PerSecond) {
    Limit.Tokens = tokensAt(Limit, Now) - 1.0;
    Limit.Refilled = Now;
  }
}

microseconds waitForToken(const rate_limit &Limit, std::size_t Ahead,
                          monotonic_time Now) {
  if (!Limit.PerSecond) {
    return microseconds(0);
  }
  double Missing = static_cast<double>(Ahead) + 1.0 - tokensAt(Limit, Now);
  constexpr double MicrosecondsPerSecond = 1e6;
  return microseconds(static_cast<std::int64_t>(
      std::max(0.0, Missing) / *Limit.PerSecond * MicrosecondsPerSecond));
}

double concurrencyUnder(const rate_limit &Limit, double Slots) {
  return Limit.PerSecond ? std::min(Slots, *Limit.PerSecond * Limit.RunSeconds)
                         : Slots;
}

} // namespace figplank::admission
