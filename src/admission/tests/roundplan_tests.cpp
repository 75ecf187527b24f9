#include "admission/roundplan.h"

#include <CppUTest/TestHarness.h>

using namespace figplank::admission;
using figplank::framework::milliseconds;
using figplank::framework::monotonic_time;

namespace {

monotonic_time at(int Milliseconds) {
  return monotonic_time(milliseconds(Milliseconds));
}

} // namespace

TEST_GROUP(RoundPlan) { round_load Load = makeRoundLoad({}); };

TEST(RoundPlan, AcceptsOnlyRoundsThatFitTheDeadline) {
  // 16 concurrent requests of 50 ms each, within half of 5 s: 800 requests.
  CHECK_TRUE(canCompleteRound(Load, 800, at(5'000), at(0)));
  CHECK_FALSE(canCompleteRound(Load, 801, at(5'000), at(0)));
}

TEST(RoundPlan, CountsRequestsOfAcceptedRounds) {
  Load.Outstanding = 700;
  CHECK_TRUE(canCompleteRound(Load, 100, at(5'000), at(0)));
  CHECK_FALSE(canCompleteRound(Load, 101, at(5'000), at(0)));
}

TEST(RoundPlan, SlowRequestsReduceAcceptedRoundSize) {
  for (int I = 0; I < 100; ++I) {
    recordRoundLatency(Load, milliseconds(500));
  }
  CHECK_FALSE(canCompleteRound(Load, 100, at(5'000), at(0)));
  CHECK_TRUE(canCompleteRound(Load, 60, at(5'000), at(0)));
}
