#include "admission/ratelimit.h"

#include <CppUTest/TestHarness.h>

using namespace figplank::admission;
using figplank::framework::milliseconds;
using figplank::framework::monotonic_time;

namespace {

monotonic_time at(std::int64_t Ms) { return monotonic_time(milliseconds(Ms)); }

} // namespace

TEST_GROUP(RateLimit) {
  rate_limit Limit;

  /// Requests sent from \p From to \p To if one waits at every millisecond.
  unsigned sendAll(std::int64_t From, std::int64_t To) {
    unsigned Sent = 0;
    for (std::int64_t Ms = From; Ms < To; ++Ms) {
      if (hasToken(Limit, at(Ms))) {
        takeToken(Limit, at(Ms));
        ++Sent;
      }
    }
    return Sent;
  }
};

TEST(RateLimit, NothingIsHeldBackWithoutALimit) {
  LONGS_EQUAL(1'000, sendAll(0, 1'000));
  CHECK(waitForToken(Limit, 1'000, at(0)) == milliseconds(0));
  DOUBLES_EQUAL(7.0, concurrencyUnder(Limit, 7.0), 0.0);
}

TEST(RateLimit, NamedLimitHoldsInEveryWindow) {
  recordNamedLimit(Limit, 10.0, at(0));
  LONGS_EQUAL(40, sendAll(1, 4'001));
  // Idle time earns no more than a short burst.
  unsigned AfterIdleTime = sendAll(20'000, 24'000);
  CHECK(AfterIdleTime >= 40 && AfterIdleTime <= 43);
}

TEST(RateLimit, RepeatedNamingEarnsNothing) {
  recordNamedLimit(Limit, 10.0, at(0));
  unsigned Sent = 0;
  for (std::int64_t Ms = 1; Ms < 4'001; ++Ms) {
    recordNamedLimit(Limit, Ms % 2 == 0 ? 10.0 : 10.1, at(Ms));
    Sent += sendAll(Ms, Ms + 1);
  }
  CHECK(Sent >= 39 && Sent <= 41);
}

TEST(RateLimit, EndsOnceAnswersNameItNoMore) {
  recordNamedLimit(Limit, 10.0, at(0));
  recordNamedLimit(Limit, std::nullopt, at(500));
  CHECK(Limit.PerSecond.has_value());
  recordNamedLimit(Limit, std::nullopt, at(1'001));
  CHECK_FALSE(Limit.PerSecond.has_value());
}

TEST(RateLimit, LimitOfZeroIsStillAskedAfter) {
  recordNamedLimit(Limit, 0.0, at(0));
  unsigned Sent = sendAll(1, 8'001);
  CHECK(Sent >= 1 && Sent <= 5);
}

TEST(RateLimit, WaitAndConcurrencyFollowTheRate) {
  recordNamedLimit(Limit, 10.0, at(0));
  recordRunTime(Limit, milliseconds(300));
  DOUBLES_EQUAL(3.0, concurrencyUnder(Limit, 64.0), 1e-9);
  DOUBLES_EQUAL(2.0, concurrencyUnder(Limit, 2.0), 1e-9);
  CHECK(waitForToken(Limit, 4, at(0)) == milliseconds(500));
}
