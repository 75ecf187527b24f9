#include "retry/budget.h"

#include <algorithm>

namespace figplank::retry {

retry_budget initialBudget(std::uint8_t ExtraTries,
                           std::uint32_t CallerAttempt) {
  std::uint32_t UsedTries = CallerAttempt == 0 ? 0 : CallerAttempt - 1;
  if (UsedTries >= ExtraTries) {
    return {0};
  }
  return {static_cast<std::uint8_t>(ExtraTries - UsedTries)};
}

retry_budget takeChildBudget(retry_budget &Budget) {
  auto ChildTries = static_cast<std::uint8_t>((Budget.ExtraTries + 1) / 2);
  Budget.ExtraTries = static_cast<std::uint8_t>(Budget.ExtraTries - ChildTries);
  return {ChildTries};
}

void returnUnusedTries(retry_budget &Budget, retry_budget Unused) {
  Budget.ExtraTries =
      static_cast<std::uint8_t>(Budget.ExtraTries + Unused.ExtraTries);
}

bool takeExtraTry(retry_budget &Budget) {
  if (Budget.ExtraTries == 0) {
    return false;
  }
  --Budget.ExtraTries;
  return true;
}

void countFirstTry(retry_token_bucket &Bucket) {
  Bucket.Tokens = std::min(Bucket.Burst, Bucket.Tokens + RetryTokenRatio);
}

bool takeRetryToken(retry_token_bucket &Bucket) {
  if (Bucket.Tokens < 1.0) {
    return false;
  }
  Bucket.Tokens -= 1.0;
  return true;
}

bool takeRetry(retry_budget &Budget, retry_token_bucket &Bucket) {
  return Budget.ExtraTries > 0 && takeRetryToken(Bucket) &&
         takeExtraTry(Budget);
}

framework::milliseconds backoffDelay(const backoff_settings &Settings,
                                     unsigned Retry, double JitterFraction,
                                     framework::milliseconds RetryAfter) {
  constexpr unsigned MaxDoublings = 16;
  unsigned Doublings = std::min(Retry == 0 ? 0 : Retry - 1, MaxDoublings);
  auto UpperBound = std::min(
      Settings.MaxDelay, Settings.BaseDelay * (std::int64_t{1} << Doublings));
  auto JitteredDelay = framework::milliseconds(static_cast<std::int64_t>(
      static_cast<double>(UpperBound.count()) * JitterFraction));
  return std::max(JitteredDelay, RetryAfter);
}

} // namespace figplank::retry
