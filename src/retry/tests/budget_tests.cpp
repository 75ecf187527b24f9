#include "retry/budget.h"

#include <CppUTest/TestHarness.h>

using namespace figplank::retry;
using figplank::framework::milliseconds;

namespace {

/// Number of executions at the last of \p Services chained services if every
/// call to it fails and each hop retries while its budget allows.
int executionsAtLastService(retry_budget Budget, int Services) {
  if (Services == 1) {
    return 1;
  }
  int Executions = 0;
  do {
    retry_budget ChildBudget = takeChildBudget(Budget);
    Executions += executionsAtLastService(ChildBudget, Services - 1);
  } while (takeExtraTry(Budget));
  return Executions;
}

} // namespace

TEST_GROUP(Budget){};

TEST(Budget, RepeatedCallerAttemptsReduceInitialBudget) {
  LONGS_EQUAL(2, initialBudget(2, 1).ExtraTries);
  LONGS_EQUAL(1, initialBudget(2, 2).ExtraTries);
  LONGS_EQUAL(0, initialBudget(2, 3).ExtraTries);
  LONGS_EQUAL(0, initialBudget(2, 100).ExtraTries);
}

TEST(Budget, ChildBudgetsAddUpToParentBudget) {
  retry_budget Budget{5};
  retry_budget First = takeChildBudget(Budget);
  retry_budget Second = takeChildBudget(Budget);
  LONGS_EQUAL(5, Budget.ExtraTries + First.ExtraTries + Second.ExtraTries);
  returnUnusedTries(Budget, First);
  returnUnusedTries(Budget, Second);
  LONGS_EQUAL(5, Budget.ExtraTries);
}

TEST(Budget, DeepChainsDoNotMultiplyRetries) {
  for (int Services : {2, 5, 14}) {
    for (int Extra = 0; Extra <= 10; ++Extra) {
      retry_budget Budget{static_cast<std::uint8_t>(Extra)};
      CHECK(executionsAtLastService(Budget, Services) <= Extra + 1);
    }
  }
}

TEST(Budget, TokenBucketBoundsRetriesToFractionOfFirstTries) {
  retry_token_bucket Bucket;
  int Retries = 0;
  for (int I = 0; I < 1'000; ++I) {
    countFirstTry(Bucket);
    Retries += takeRetryToken(Bucket) ? 1 : 0;
  }
  CHECK(Retries <= 1'000 * RetryTokenRatio + RetryTokenBurst);
  CHECK(Retries >= 1'000 * RetryTokenRatio - 1);
}

TEST(Budget, BackoffIsJitteredBoundedAndHonoursRetryAfter) {
  backoff_settings Settings;
  CHECK(backoffDelay(Settings, 1, 0.5, milliseconds(0)) <= Settings.BaseDelay);
  CHECK(backoffDelay(Settings, 60, 0.999, milliseconds(0)) <=
        Settings.MaxDelay);
  CHECK(backoffDelay(Settings, 1, 0.0, milliseconds(150)) == milliseconds(150));
}

TEST(Budget, RetryWithoutATokenLeavesTheExtraTry) {
  retry_budget Budget{2};
  retry_token_bucket Bucket{1.0, 1.0};
  CHECK(takeRetry(Budget, Bucket));
  LONGS_EQUAL(1, Budget.ExtraTries);
  CHECK_FALSE(takeRetry(Budget, Bucket));
  LONGS_EQUAL(1, Budget.ExtraTries);
}

TEST(Budget, RetryWithoutAnExtraTryLeavesTheToken) {
  retry_budget Budget{0};
  retry_token_bucket Bucket{1.0, 1.0};
  CHECK_FALSE(takeRetry(Budget, Bucket));
  DOUBLES_EQUAL(1.0, Bucket.Tokens, 0.0);
}
