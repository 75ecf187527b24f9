#include "membership/pause.h"
#include "membership/readers.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace figplank;
using namespace figplank::membership;
using framework::milliseconds;
using framework::monotonic_time;
using framework::wall_time;

namespace {

constexpr std::size_t ReaderCount = 3;

std::vector<std::string> makeHundredMembers() {
  std::vector<std::string> Members;
  Members.reserve(100);
  for (int I = 0; I < 100; ++I) {
    Members.push_back("127.0.0.1:" + std::to_string(1'000 + I));
  }
  return Members;
}

std::set<std::string> readersAt(const std::vector<std::string> &Members,
                                std::int64_t Now) {
  std::set<std::string> Readers;
  for (const std::string &Member : Members) {
    std::vector<std::string> Candidates =
        orderCandidates({}, Members, Member, wall_time(milliseconds(Now)));
    if (isReader(Candidates, ReaderCount, Member, {}, {})) {
      Readers.insert(Member);
    }
  }
  return Readers;
}

} // namespace

TEST_GROUP(Readers){};

TEST(Readers, ZoneHasThreeReadersThatChangeEachPeriod) {
  std::vector<std::string> Members = makeHundredMembers();
  std::set<std::string> First = readersAt(Members, 0);
  LONGS_EQUAL(3, First.size());
  CHECK(First == readersAt(Members, 59'999));
  CHECK(First != readersAt(Members, 60'000));
}

TEST(Readers, ReaderIsReplacedOnceItIsOffTheMemberList) {
  std::vector<std::string> Members = makeHundredMembers();
  std::set<std::string> Before = readersAt(Members, 0);
  std::erase(Members, *Before.begin());
  std::set<std::string> After = readersAt(Members, 0);
  LONGS_EQUAL(3, After.size());
  CHECK(After.count(*Before.begin()) == 0);
}

TEST(Readers, ReadersGrowWithZonesOnlyWhereEachNeedsTwo) {
  for (std::size_t Zones : {0, 1, 2, 3}) {
    LONGS_EQUAL(3, readersPerZone({}, Zones));
  }
  LONGS_EQUAL(2, readersPerZone({}, 5));
  LONGS_EQUAL(2, readersPerZone({}, 23));
}

TEST(Readers, ZonesAreThoseOfTheListedInstances) {
  configuration::catalog Catalog;
  LONGS_EQUAL(0, countZones(Catalog));
  Catalog.Instances["s"]["one"].Zone = "z1";
  Catalog.Instances["s"]["two"].Zone = "z2";
  Catalog.Instances["t"]["three"].Zone = "z1";
  LONGS_EQUAL(2, countZones(Catalog));
}

TEST(Readers, AllMembersOfASmallZoneAreReaders) {
  LONGS_EQUAL(2, readersAt({"a", "b"}, 0).size());
}

TEST(Readers, NextCandidateTakesOverFromASilentReader) {
  const std::vector<std::string> Candidates{"a", "b", "c", "d", "e"};
  reader_health Health;
  monotonic_time Start(milliseconds(1'000));
  LONGS_EQUAL(2, listWatched(Candidates, 2, "d", Health, Start).size());
  monotonic_time Later = Start + Health.MaxSilence + milliseconds(1);
  Health.LastConfirmed["b"] = Later;
  // a is silent, so c is asked as well, and d waits for its confirmation.
  LONGS_EQUAL(3, listWatched(Candidates, 2, "d", Health, Later).size());
  CHECK_FALSE(isReader(Candidates, 2, "d", Health, Later));
  monotonic_time End = Later + Health.MaxSilence + milliseconds(1);
  Health.LastConfirmed["b"] = End;
  CHECK(isReader(Candidates, 2, "d", Health, End));
  CHECK(isReader(Candidates, 2, "c", Health, End));
  CHECK_FALSE(isReader(Candidates, 2, "e", Health, Later));
  Health.LastConfirmed["a"] = End;
  CHECK_FALSE(isReader(Candidates, 2, "d", Health, End));
  LONGS_EQUAL(2, listWatched(Candidates, 2, "d", Health, End).size());
  LONGS_EQUAL(2, Health.LastConfirmed.size());
}

TEST(Readers, NodeThatKnowsNoMembersReads) {
  CHECK(isReader(orderCandidates({}, {}, "a", {}), 1, "a", {}, {}));
}

TEST(Readers, OnlyCandidatesThatMayTakeOverAskReaders) {
  const std::vector<std::string> Candidates{"a", "b", "c"};
  reader_health Health;
  CHECK(listWatched(Candidates, 2, "b", Health, {}).empty());
  CHECK(listWatched(Candidates, 2, "unlisted", Health, {}).empty());
  LONGS_EQUAL(2, listWatched(Candidates, 2, "c", Health, {}).size());
}

TEST(Readers, PeersAreDistinctAndExcludeSelf) {
  std::vector<std::string> Picked =
      pickPeers({"a", "b", "c"}, "b", {}, {0.0, 0.1, 0.4, 0.5, 0.99}, {});
  LONGS_EQUAL(2, Picked.size());
  STRCMP_EQUAL("a", Picked[0].c_str());
  STRCMP_EQUAL("c", Picked[1].c_str());
  CHECK(pickPeers({}, "b", {}, {0.5}, {}).empty());
}

TEST(Readers, EqualDrawsPickDistinctPeers) {
  std::vector<std::string> Picked =
      pickPeers({"a", "b", "c", "d"}, "b", {}, {0.0, 0.0, 0.0, 0.0}, {});
  LONGS_EQUAL(3, Picked.size());
  CHECK(std::set<std::string>(Picked.begin(), Picked.end()) ==
        std::set<std::string>({"a", "c", "d"}));
}

TEST(Readers, UnresponsivePeerIsSkippedForTheRetryInterval) {
  unresponsive_peers Unresponsive;
  monotonic_time Start(milliseconds(1'000));
  recordExchange(Unresponsive, "a", false, Start);
  recordExchange(Unresponsive, "b", false, Start);
  recordExchange(Unresponsive, "b", true, Start);
  auto PickedAt = [&Unresponsive](monotonic_time Now) {
    return pickPeers({"a", "b", "c"}, "self", Unresponsive, {0.0, 0.0, 0.0},
                     Now);
  };
  std::vector<std::string> Answering = PickedAt(Start + milliseconds(1));
  LONGS_EQUAL(2, Answering.size());
  STRCMP_EQUAL("b", Answering[0].c_str());
  LONGS_EQUAL(3, PickedAt(Start + Unresponsive.RetryInterval).size());
}

TEST_GROUP(Pause){};

TEST(Pause, OnlyGapsAboveTheThresholdArePauses) {
  pause_detector Detector;
  Detector.LastTick = monotonic_time(milliseconds(0));
  CHECK(observeTick(Detector, monotonic_time(milliseconds(20))) ==
        milliseconds(0));
  CHECK(observeTick(Detector, monotonic_time(milliseconds(60'020))) ==
        milliseconds(60'000));
  CHECK(observeTick(Detector, monotonic_time(milliseconds(60'040))) ==
        milliseconds(0));
}
