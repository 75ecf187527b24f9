#include "retry/budget.h"

#include <algorithm>

namespace figplank::retry {

retry_budget initialBudget(std::uint8_t ExtraTries,
                           std::uint32_t CallerAttempt) {
  std::uint32_t Used = CallerAttempt == 0 ? 0 : CallerAttempt - 1;
  if (Used >= ExtraTries) {
    return {0};
  }
  return {static_cast<std::uint8_t>(ExtraTries - Used)};
}

retry_budget takeChildBudget(retry_budget &Budget) {
  auto Share = static_cast<std::uint8_t>((Budget.ExtraTries + 1) / 2);
  Budget.ExtraTries = static_cast<std::uint8_t>(Budget.ExtraTries - Share);
  return {Share};
}

void returnUnused(retry_budget &Budget, retry_budget Unused) {
  Budget.ExtraTries =
      static_cast<std::uint8_t>(Budget.ExtraTries + Unused.ExtraTries);
}

bool takeTry(retry_budget &Budget) {
  if (Budget.ExtraTries == 0) {
    return false;
  }
  --Budget.ExtraTries;
  return true;
}

void countFirstTry(retry_token_bucket &Allowance) {
  Allowance.Tokens =
      std::min(Allowance.Burst, Allowance.Tokens + RetryTokenRatio);
}

bool takeRetryToken(retry_token_bucket &Allowance) {
  if (Allowance.Tokens < 1.0) {
    return false;
  }
  Allowance.Tokens -= 1.0;
  return true;
}

framework::milliseconds backoffDelay(const backoff_settings &Settings,
                                     unsigned Retry, double Fraction,
                                     framework::milliseconds RetryAfter) {
  constexpr unsigned MaxDoublings = 16;
  unsigned Doublings = std::min(Retry == 0 ? 0 : Retry - 1, MaxDoublings);
  auto Bound =
      std::min(Settings.Most, Settings.Base * (std::int64_t{1} << Doublings));
  auto Jittered = framework::milliseconds(
      static_cast<std::int64_t>(static_cast<double>(Bound.count()) * Fraction));
  return std::max(Jittered, RetryAfter);
}

} // namespace figplank::retry
