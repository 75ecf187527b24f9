#include "admission/concurrencylimit.h"

#include <CppUTest/TestHarness.h>

using namespace figplank::admission;
using figplank::framework::milliseconds;
using figplank::framework::monotonic_time;

namespace {

constexpr std::uint8_t LeastUrgentRank = 7;

/// Simulates \p Windows windows in which every free slot is used and every
/// request ends with \p Result.
void runWindows(concurrency_limit &Limit, monotonic_time &Now, int Windows,
                run_result Result) {
  for (int I = 0; I < Windows; ++I) {
    int Running = 0;
    while (hasFreeSlot(Limit, LeastUrgentRank)) {
      acquireSlot(Limit);
      ++Running;
    }
    for (; Running > 0; --Running) {
      releaseSlot(Limit, Result);
    }
    Now += milliseconds(100);
    advanceLimit(Limit, Now);
  }
}

} // namespace

TEST_GROUP(ConcurrencyLimit) {
  monotonic_time Now{};
  concurrency_limit Limit;

  void setup() override {
    limit_settings Settings;
    Settings.Slots = 40;
    Limit = makeConcurrencyLimit(Settings, Now);
  }
};

TEST(ConcurrencyLimit, GrowsFromColdStartToSlotsWhileUsed) {
  DOUBLES_EQUAL(10.0, Limit.Limit, 0.01);
  runWindows(Limit, Now, 20, run_result::Completed);
  DOUBLES_EQUAL(40.0, Limit.Limit, 0.01);
}

TEST(ConcurrencyLimit, GrowsFromMinimumLimitOfSmallServer) {
  setSlots(Limit, 4);
  Limit.Limit = 1.0;
  runWindows(Limit, Now, 20, run_result::Completed);
  DOUBLES_EQUAL(4.0, Limit.Limit, 0.01);
}

// Guards against a cold server whose slots stay unused, since its first
// requests last longer than a window.
TEST(ConcurrencyLimit, GrowsFromColdStartBeforeARequestHasEnded) {
  CHECK(isRamping(Limit));
  for (int I = 0; I < 20; ++I) {
    while (hasFreeSlot(Limit, LeastUrgentRank)) {
      acquireSlot(Limit);
    }
    Now += milliseconds(100);
    advanceLimit(Limit, Now);
  }
  DOUBLES_EQUAL(40.0, Limit.Limit, 0.01);
  CHECK_FALSE(isRamping(Limit));
}

TEST(ConcurrencyLimit, LoweredLimitGrowsOnlyWithAnswers) {
  runWindows(Limit, Now, 1, run_result::TimedOut);
  CHECK_FALSE(isRamping(Limit));
  double Lowered = Limit.Limit;
  while (hasFreeSlot(Limit, LeastUrgentRank)) {
    acquireSlot(Limit);
  }
  Now += milliseconds(100);
  advanceLimit(Limit, Now);
  DOUBLES_EQUAL(Lowered, Limit.Limit, 0.01);
  resetToColdStart(Limit);
  CHECK(isRamping(Limit));
}

TEST(ConcurrencyLimit, DoesNotGrowWhileUnused) {
  for (int I = 0; I < 20; ++I) {
    acquireSlot(Limit);
    releaseSlot(Limit, run_result::Completed);
    Now += milliseconds(100);
    advanceLimit(Limit, Now);
  }
  DOUBLES_EQUAL(10.0, Limit.Limit, 0.01);
}

TEST(ConcurrencyLimit, ShedDecreasesLimitAtOnceAndOncePerWindow) {
  runWindows(Limit, Now, 20, run_result::Completed);
  for (int I = 0; I < 30; ++I) {
    acquireSlot(Limit);
  }
  releaseSlot(Limit, run_result::Shed);
  DOUBLES_EQUAL(21.0, Limit.Limit, 0.01);
  releaseSlot(Limit, run_result::Shed);
  DOUBLES_EQUAL(21.0, Limit.Limit, 0.01);
}

TEST(ConcurrencyLimit, FastFailuresReduceLimitToMinimumAndSuccessRestoresIt) {
  runWindows(Limit, Now, 20, run_result::Completed);
  runWindows(Limit, Now, 20, run_result::Failed);
  DOUBLES_EQUAL(1.0, Limit.Limit, 0.01);
  DOUBLES_EQUAL(1.0, Limit.FailureRate, 0.01);
  runWindows(Limit, Now, 40, run_result::Completed);
  DOUBLES_EQUAL(40.0, Limit.Limit, 0.01);
}

TEST(ConcurrencyLimit, ReservedSlotsAreForUrgentRanks) {
  runWindows(Limit, Now, 20, run_result::Completed);
  reserveSlots(Limit, 1);
  while (hasFreeSlot(Limit, 2)) {
    acquireSlot(Limit);
  }
  LONGS_EQUAL(38, Limit.InFlight);
  CHECK_TRUE(hasFreeSlot(Limit, 1));
  CHECK_TRUE(hasFreeSlot(Limit, 0));
}

TEST(ConcurrencyLimit, ShedByUnsharedServerDecreasesLimitOnlyIfBusy) {
  Limit.Settings.ShedMinUtilisation = 0.7;
  Limit.Settings.DecreaseOnFailures = false;
  runWindows(Limit, Now, 20, run_result::Completed);
  for (int I = 0; I < 10; ++I) {
    acquireSlot(Limit);
    releaseSlot(Limit, run_result::Shed);
  }
  Now += milliseconds(100);
  advanceLimit(Limit, Now);
  DOUBLES_EQUAL(40.0, Limit.Limit, 0.01);
  DOUBLES_EQUAL(1.0, Limit.FailureRate, 0.01);
  runWindows(Limit, Now, 1, run_result::Shed);
  CHECK(Limit.Limit < 40.0);
}
