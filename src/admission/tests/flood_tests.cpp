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
struct offered {
  std::uint8_t Rank;
  std::string Organisation;
  int PerWindow;
};

/// Plays \p Windows windows of 100 ms before a server of \p Slots slots on
/// which each request takes 100 ms: \p Slots requests per window fit. Returns
/// the requests admitted in the last half, per window, by organisation.
std::map<std::string, double>
playFlood(const std::vector<offered> &Offers, double Slots,
          const std::array<double, RankCount> &Floors, int Windows = 100) {
  std::mt19937 Random(7);
  std::uniform_real_distribution<double> Draw(0.0, 1.0);
  monotonic_time Now{};
  share_controller Shares = makeShareController({}, Now);
  std::map<std::string, double> Admitted;
  for (int Window = 0; Window < Windows; ++Window) {
    for (const offered &Offer : Offers) {
      for (int I = 0; I < Offer.PerWindow; ++I) {
        recordArrival(Shares, Offer.Rank, Offer.Organisation, 1.0, 0.1);
        bool In = isAdmitted(
            Draw(Random), shareOf(Shares, Offer.Rank, Offer.Organisation), 0);
        Admitted[Offer.Organisation] +=
            In && Window >= Windows / 2 ? 2.0 / Windows : 0.0;
      }
    }
    Now += milliseconds(100);
    advanceShares(Shares, {Slots, microseconds(1)}, Floors, Now);
  }
  return Admitted;
}

} // namespace

TEST_GROUP(Flood) { std::array<double, RankCount> Floors{}; };

TEST(Flood, LeastUrgentFloodTakesNothingFromUrgentWork) {
  auto Admitted = playFlood({{0, "grid", 10}, {5, "archive", 200}}, 20, Floors);
  DOUBLES_EQUAL(10.0, Admitted["grid"], 0.01);
  CHECK(Admitted["archive"] > 8.0 && Admitted["archive"] < 12.0);
}

TEST(Flood, MostUrgentFloodLeavesTheFloors) {
  Floors[3] = 0.05;
  Floors[5] = 0.05;
  auto Admitted = playFlood(
      {{0, "grid", 400}, {3, "explain", 20}, {5, "archive", 20}}, 40, Floors);
  CHECK(Admitted["explain"] >= 2.0);
  CHECK(Admitted["archive"] >= 2.0);
  CHECK(Admitted["grid"] >= 30.0);
}

TEST(Flood, OrganisationsShareEquallyWhateverTheyOffer) {
  auto Admitted = playFlood(
      {{2, "large", 400}, {2, "b", 20}, {2, "c", 20}, {2, "d", 3}}, 20, Floors);
  DOUBLES_EQUAL(3.0, Admitted["d"], 0.01);
  double Fair = (20.0 - 3.0) / 3.0;
  for (const char *Name : {"large", "b", "c"}) {
    CHECK(Admitted[Name] > 0.85 * Fair && Admitted[Name] < 1.15 * Fair);
  }
}

TEST(Flood, RefusedAtTheEntryCountsAsDemand) {
  // An entry that lets one in ten through gives each the weight of ten.
  monotonic_time Now{};
  share_controller Shares = makeShareController({}, Now);
  for (int Window = 0; Window < 50; ++Window) {
    for (int I = 0; I < 20; ++I) {
      recordArrival(Shares, 2, "a", 10.0, 0.1);
    }
    Now += milliseconds(100);
    advanceShares(Shares, {20.0, microseconds(1)}, Floors, Now);
  }
  DOUBLES_EQUAL(0.1, shareOf(Shares, 2, "a"), 0.01);
}

TEST(Flood, StandingQueueAdmitsLessAndRecovers) {
  monotonic_time Now{};
  share_controller Shares = makeShareController({}, Now);
  auto Play = [&](milliseconds Delay, int Windows, double Arrivals) {
    for (int I = 0; I < Windows; ++I) {
      recordArrival(Shares, 2, "a", Arrivals, 0.1);
      Now += milliseconds(100);
      advanceShares(Shares, {20.0, Delay}, Floors, Now);
    }
  };
  Play(milliseconds(50), 10, 40.0);
  CHECK(Shares.Correction < 0.7);
  Play(milliseconds(0), 30, 5.0);
  DOUBLES_EQUAL(1.0, Shares.Correction, 0.01);
  DOUBLES_EQUAL(1.0, shareOf(Shares, 2, "a"), 0.001);
}

TEST(Flood, SameDrawIsRefusedByEveryServiceOfAChain) {
  // Shares differ a little between nodes; work admitted at the entry passes
  // the services below within the margin.
  for (int Percent = 0; Percent < 100; ++Percent) {
    double Draw = Percent / 100.0;
    if (isAdmitted(Draw, 0.30, 0)) {
      CHECK_TRUE(isAdmitted(Draw, 0.26, 3));
    }
  }
  CHECK_FALSE(isAdmitted(0.5, 0.3, 3));
}

TEST(Flood, CarriedShareFollowsAnswersAndFadesWithoutThem) {
  chain_shares Shares;
  monotonic_time Now{};
  for (int I = 0; I < 100; ++I) {
    recordShare(Shares, "t", "o", 0.1, Now);
  }
  DOUBLES_EQUAL(0.1, chainShareOf(Shares, "t", "o", Now), 0.01);
  DOUBLES_EQUAL(1.0, chainShareOf(Shares, "t", "other", Now), 0.0);
  CHECK(chainShareOf(Shares, "t", "o", Now + milliseconds(1'500)) > 0.3);
  DOUBLES_EQUAL(1.0, chainShareOf(Shares, "t", "o", Now + milliseconds(5'000)),
                0.0);
}
