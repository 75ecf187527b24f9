#include "admission/chainshares.h"
#include "admission/sharecontroller.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <random>

using namespace figplank;
using namespace figplank::admission;
using framework::microseconds;
using framework::milliseconds;
using framework::monotonic_time;

namespace {

/// Demand of one organisation in one rank, in requests per window.
struct offered_load {
  std::uint8_t Rank;
  std::string Organisation;
  int RequestsPerWindow;
};

/// Simulates \p Windows windows of 100 ms at a server with \p Slots slots. Each
/// request takes 100 ms, so \p Slots requests fit into a window. Returns the
/// mean number of requests admitted per window in the second half of the run,
/// by organisation.
std::map<std::string, double>
simulateFlood(const std::vector<offered_load> &OfferedLoads, double Slots,
              const std::array<double, RankCount> &MinimumShares,
              int Windows = 100) {
  std::mt19937 Random(7);
  std::uniform_real_distribution<double> Draw(0.0, 1.0);
  monotonic_time Now{};
  share_controller Shares = makeShareController({}, Now);
  std::map<std::string, double> Admitted;
  for (int Window = 0; Window < Windows; ++Window) {
    for (const offered_load &Offered : OfferedLoads) {
      for (int I = 0; I < Offered.RequestsPerWindow; ++I) {
        recordArrival(Shares, Offered.Rank, Offered.Organisation, 1.0, 0.1);
        bool Admit =
            isAdmitted(Draw(Random),
                       shareOf(Shares, Offered.Rank, Offered.Organisation), 0);
        Admitted[Offered.Organisation] +=
            Admit && Window >= Windows / 2 ? 2.0 / Windows : 0.0;
      }
    }
    Now += milliseconds(100);
    advanceShares(Shares, {Slots, microseconds(1)}, MinimumShares, Now);
  }
  return Admitted;
}

} // namespace

TEST_GROUP(Flood) { std::array<double, RankCount> MinimumShares{}; };

TEST(Flood, FloodOfLessUrgentRankLeavesUrgentRankUnaffected) {
  auto Admitted =
      simulateFlood({{0, "grid", 10}, {5, "archive", 200}}, 20, MinimumShares);
  DOUBLES_EQUAL(10.0, Admitted["grid"], 0.01);
  CHECK(Admitted["archive"] > 8.0 && Admitted["archive"] < 12.0);
}

TEST(Flood, FloodOfUrgentRankLeavesMinimumShares) {
  MinimumShares[3] = 0.05;
  MinimumShares[5] = 0.05;
  auto Admitted =
      simulateFlood({{0, "grid", 400}, {3, "explain", 20}, {5, "archive", 20}},
                    40, MinimumShares);
  CHECK(Admitted["explain"] >= 2.0);
  CHECK(Admitted["archive"] >= 2.0);
  CHECK(Admitted["grid"] >= 30.0);
}

TEST(Flood, OrganisationsShareEquallyRegardlessOfDemand) {
  auto Admitted = simulateFlood(
      {{2, "large", 400}, {2, "b", 20}, {2, "c", 20}, {2, "d", 3}}, 20,
      MinimumShares);
  DOUBLES_EQUAL(3.0, Admitted["d"], 0.01);
  double FairShare = (20.0 - 3.0) / 3.0;
  for (const char *Name : {"large", "b", "c"}) {
    CHECK(Admitted[Name] > 0.85 * FairShare &&
          Admitted[Name] < 1.15 * FairShare);
  }
}

TEST(Flood, RequestsRefusedAtEntryNodeCountAsDemand) {
  // An entry node that admits one request in ten gives each the weight 10.
  monotonic_time Now{};
  share_controller Shares = makeShareController({}, Now);
  for (int Window = 0; Window < 50; ++Window) {
    for (int I = 0; I < 20; ++I) {
      recordArrival(Shares, 2, "a", 10.0, 0.1);
    }
    Now += milliseconds(100);
    advanceShares(Shares, {20.0, microseconds(1)}, MinimumShares, Now);
  }
  DOUBLES_EQUAL(0.1, shareOf(Shares, 2, "a"), 0.01);
}

TEST(Flood, StandingQueueReducesCapacityCorrectionUntilItEnds) {
  monotonic_time Now{};
  share_controller Shares = makeShareController({}, Now);
  auto RunWindows = [&](milliseconds Delay, int Windows, double Arrivals) {
    for (int I = 0; I < Windows; ++I) {
      recordArrival(Shares, 2, "a", Arrivals, 0.1);
      Now += milliseconds(100);
      advanceShares(Shares, {20.0, Delay}, MinimumShares, Now);
    }
  };
  RunWindows(milliseconds(50), 10, 40.0);
  CHECK(Shares.CapacityCorrection < 0.7);
  RunWindows(milliseconds(0), 30, 5.0);
  DOUBLES_EQUAL(1.0, Shares.CapacityCorrection, 0.01);
  DOUBLES_EQUAL(1.0, shareOf(Shares, 2, "a"), 0.001);
}

TEST(Flood, NestedCallsAreAdmittedOnlyWithinMarginOfShare) {
  // The shares of nodes differ slightly. A request admitted at the entry node
  // must also be admitted at a service whose share is lower by less than the
  // margin.
  for (int Percent = 0; Percent < 100; ++Percent) {
    double Draw = Percent / 100.0;
    if (isAdmitted(Draw, 0.30, 0)) {
      CHECK_TRUE(isAdmitted(Draw, 0.26, 3));
    }
  }
  CHECK_FALSE(isAdmitted(0.5, 0.3, 3));
}

TEST(Flood, ChainShareFollowsAnswersAndGrowsBackWithoutThem) {
  chain_shares Shares;
  monotonic_time Now{};
  for (int I = 0; I < 100; ++I) {
    recordChainShare(Shares, "t", "o", 0.1, Now);
  }
  DOUBLES_EQUAL(0.1, chainShareOf(Shares, "t", "o", Now), 0.01);
  DOUBLES_EQUAL(1.0, chainShareOf(Shares, "t", "other", Now), 0.0);
  CHECK(chainShareOf(Shares, "t", "o", Now + milliseconds(1'500)) > 0.3);
  DOUBLES_EQUAL(1.0, chainShareOf(Shares, "t", "o", Now + milliseconds(5'000)),
                0.0);
}
