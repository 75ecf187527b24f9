#include "routing/upstreams.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace figplank;
using namespace figplank::routing;
using framework::milliseconds;
using framework::monotonic_time;

namespace {

monotonic_time at(int Milliseconds) {
  return monotonic_time(milliseconds(Milliseconds));
}

std::vector<candidate> fourUpstreams() {
  return {
      {"a", "z1", "a"}, {"b", "z1", "b"}, {"c", "z2", "c"}, {"d", "z2", "d"}};
}

reported_load loadOf(double Limit, std::uint32_t InFlight,
                     double FailureRate = 0.0) {
  reported_load Load;
  Load.Limit = Limit;
  Load.InFlight = InFlight;
  Load.FailureRate = FailureRate;
  return Load;
}

} // namespace

TEST_GROUP(Upstreams) {
  upstream_table Table;
  std::vector<candidate> Candidates = fourUpstreams();

  std::string choose(choice_draws Draws, int Now = 100,
                     const std::vector<std::string> &Tried = {}) {
    const candidate *Chosen =
        chooseUpstream(Table, Candidates, "z1", Tried, Draws, at(Now));
    return Chosen == nullptr ? "none" : Chosen->Name;
  }

  void answer(const char *Address, const reported_load &Load) {
    recordStart(Table, Address);
    recordAnswer(Table, Address, Load, at(100));
  }
};

TEST(Upstreams, LocalZoneIsPreferredBelowTheSpilloverLoad) {
  for (double Draw : {0.0, 0.3, 0.6, 0.99}) {
    std::string Chosen = choose({Draw, 1.0 - Draw - 0.001});
    CHECK(Chosen == "a" || Chosen == "b");
  }
}

TEST(Upstreams, LessLoadedOfTwoIsChosen) {
  answer("a", loadOf(10, 9));
  answer("b", loadOf(10, 1));
  STRCMP_EQUAL("b", choose({0.0, 0.0}).c_str());
  STRCMP_EQUAL("b", choose({0.9, 0.0}).c_str());
}

TEST(Upstreams, OverloadedZoneSpillsOverToOthers) {
  answer("a", loadOf(10, 20));
  answer("b", loadOf(10, 20));
  std::string Chosen = choose({0.6, 0.9});
  CHECK(Chosen == "c" || Chosen == "d");
}

TEST(Upstreams, FastFailuresDoNotAttractTraffic) {
  answer("a", loadOf(10, 0, 1.0));
  answer("b", loadOf(10, 8));
  STRCMP_EQUAL("b", choose({0.0, 0.0}).c_str());
}

TEST(Upstreams, FailedUpstreamIsAvoidedForALimitedTime) {
  recordStart(Table, "a");
  recordFailure(Table, "a", at(100));
  STRCMP_EQUAL("b", choose({0.0, 0.0}).c_str());
  STRCMP_EQUAL("b", choose({0.9, 0.0}).c_str());
  CHECK(choose({0.0, 0.0}, 300) == "a" || choose({0.9, 0.0}, 300) == "a");
}

TEST(Upstreams, NoneIsAvoidedWhenMostHaveFailed) {
  for (const char *Address : {"a", "b", "c"}) {
    recordStart(Table, Address);
    recordFailure(Table, Address, at(100));
  }
  std::string Chosen = choose({0.0, 0.0});
  CHECK(Chosen == "a" || Chosen == "b");
}

TEST(Upstreams, TriedUpstreamsAreExcluded) {
  STRCMP_EQUAL("none", choose({0.0, 0.0}, 100, {"a", "b", "c", "d"}).c_str());
  STRCMP_EQUAL("d", choose({0.0, 0.0}, 100, {"a", "b", "c"}).c_str());
}

TEST(Upstreams, EmptyListFallsBackToTheRosterWithoutDrainingUpstreams) {
  configuration::catalog Catalog;
  configuration::service_settings Service;
  Service.Name = "s";
  Service.Roster = {{"a", "z1", "a"}, {"b", "z2", "b"}};
  Catalog.Services["s"] = Service;
  Candidates = listCandidates(Catalog, "s");
  LONGS_EQUAL(2, Candidates.size());
  STRCMP_EQUAL("a", choose({0.0, 0.0}, 0).c_str());
  recordDrain(Table, "a", at(0));
  for (double Draw : {0.0, 0.3, 0.6, 0.99}) {
    STRCMP_EQUAL("b", choose({Draw, 0.0}, 1).c_str());
  }
  STRCMP_EQUAL("a", choose({0.0, 0.0}, 3'100).c_str());
}

TEST(Upstreams, AllUpstreamsDrainingLeavesNone) {
  for (const char *Address : {"a", "b", "c", "d"}) {
    recordDrain(Table, Address, at(100));
  }
  STRCMP_EQUAL("none", choose({0.0, 0.0}).c_str());
}

TEST(Upstreams, CandidateListFollowsTheCatalog) {
  configuration::store Store;
  candidate_lists Lists;
  const char *Value = R"({"zone":"z","address":"10.0.0.1:1","state":"live"})";
  applyEntry(Store, {"instances/s/one", 1, Value});
  LONGS_EQUAL(1, candidatesOf(Lists, Store.Catalog, "s").size());
  LONGS_EQUAL(0, candidatesOf(Lists, Store.Catalog, "other").size());
  applyEntry(Store, {"instances/s/one", 2, ""});
  LONGS_EQUAL(0, candidatesOf(Lists, Store.Catalog, "s").size());
}

TEST(Upstreams, ClearedViewsAvoidNoUpstream) {
  recordStart(Table, "a");
  recordFailure(Table, "a", at(100));
  clearViews(Table);
  CHECK(choose({0.0, 0.0}) == "a" || choose({0.9, 0.0}) == "a");
}

TEST(Upstreams, FastUpstreamElsewhereIsPreferredToSlowLocalOnes) {
  for (int I = 0; I < 60; ++I) {
    for (const char *Slow : {"a", "b"}) {
      recordLatency(Table, Slow, "read", milliseconds(200), at(0));
    }
    for (const char *Fast : {"c", "d"}) {
      recordLatency(Table, Fast, "read", milliseconds(50), at(0));
    }
  }
  for (double Draw : {0.0, 0.3, 0.6, 0.99}) {
    std::string Chosen = choose({Draw, 0.0});
    // Of the two drawn, the one in another zone is chosen. There is one from a
    // draw of 0.5.
    CHECK(Chosen == "c" || Chosen == "d" || Draw < 0.5);
  }
}

TEST(Upstreams, LeavingIncarnationIsExcludedAndALaterOneIsNot) {
  Candidates.resize(1);
  Candidates[0].StartedMs = 1'000;
  recordLeaving(Table, "a", {"a", 1'000});
  STRCMP_EQUAL("none", choose({0.0, 0.0}).c_str());
  clearViews(Table);
  STRCMP_EQUAL("none", choose({0.0, 0.0}, 100'000).c_str());
  Candidates[0].StartedMs = 2'000;
  STRCMP_EQUAL("a", choose({0.0, 0.0}).c_str());
}

// Guards against an upstream that is starved for good after a slow moment.
TEST(Upstreams, SlowUpstreamIsMeasuredAgainAfterATimeWithoutRequests) {
  for (int I = 0; I < 60; ++I) {
    recordLatency(Table, "a", "read", milliseconds(200), at(1'000));
    recordLatency(Table, "b", "read", milliseconds(50), at(1'000));
  }
  recordStart(Table, "b");
  auto ChosenAt = [this](int Ms) {
    for (int I = 0; I < 60; ++I) {
      recordLatency(Table, "b", "read", milliseconds(50), at(Ms));
    }
    const candidate *Chosen =
        chooseUpstream(Table, Candidates, "z1", {}, {0.0, 0.0}, at(Ms));
    return Chosen->Address;
  };
  STRCMP_EQUAL("b", ChosenAt(1'900).c_str());
  STRCMP_EQUAL("a", ChosenAt(15'000).c_str());
}

TEST(Upstreams, EarlierIncarnationAtTheSameAddressIsNoCandidate) {
  configuration::catalog Catalog;
  configuration::instance Old;
  Old.Name = "old";
  Old.Address = "10.0.0.1:1";
  Old.StartedMs = 1;
  configuration::instance New = Old;
  New.Name = "new";
  New.StartedMs = 2;
  Catalog.Instances["s"] = {{"old", Old}, {"new", New}};
  auto Listed = listCandidates(Catalog, "s");
  LONGS_EQUAL(1, Listed.size());
  STRCMP_EQUAL("new", Listed[0].Name.c_str());
}

namespace {

/// Two idle upstreams, and one caller that sends a request when the one before
/// is answered. The first answer of "a" takes FirstMs, all others UsualMs.
struct idle_pair {
  static constexpr int UsualMs = 3;
  int FirstMs = UsualMs;
  unsigned Seed = 0;

  /// Number of requests up to the first one that "b" gets.
  int requestsUntilOtherIsTried() const {
    constexpr int MaxRequests = 2'000;
    upstream_table Table;
    const std::vector<candidate> Pair{{"a", "z1", "a"}, {"b", "z1", "b"}};
    std::mt19937 Random(Seed);
    std::uniform_real_distribution<double> Draw;
    int NowMs = 1'000;
    for (int I = 0; I < MaxRequests; ++I) {
      // The draws of the first request lead to "a".
      choice_draws Draws{I == 0 ? 0.0 : Draw(Random), Draw(Random)};
      const candidate *Chosen =
          chooseUpstream(Table, Pair, "z1", {}, Draws, at(NowMs));
      if (Chosen->Address == "b") {
        return I;
      }
      recordStart(Table, "a");
      int LatencyMs = I == 0 ? FirstMs : UsualMs;
      NowMs += LatencyMs;
      recordAnswer(Table, "a", loadOf(16, 0), at(NowMs));
      recordLatency(Table, "a", "read", milliseconds(LatencyMs), at(NowMs));
    }
    return MaxRequests;
  }
};

} // namespace

// Guards against an upstream that gets nothing for seconds, because the first
// answer of another one was slow.
TEST(Upstreams, SlowFirstAnswerKeepsNoOtherUpstreamAway) {
  constexpr unsigned Seeds = 400;
  for (int FirstMs : {3, 50, 100, 1'000}) {
    for (unsigned Seed = 0; Seed < Seeds; ++Seed) {
      CHECK((idle_pair{FirstMs, Seed}.requestsUntilOtherIsTried()) <= 20);
    }
  }
}

// Guards against an upstream that gets nothing for seconds, because its own
// first answer was slow.
TEST(Upstreams, SlowFirstAnswerKeepsItsUpstreamInUse) {
  recordLatency(Table, "a", "read", milliseconds(3), at(1'000));
  recordLatency(Table, "b", "read", milliseconds(100), at(1'000));
  for (int I = 0; I < 10; ++I) {
    recordLatency(Table, "a", "read", milliseconds(3), at(1'001 + I));
  }
  STRCMP_EQUAL("b", choose({0.6, 0.0}, 1'012).c_str());
}

TEST(Upstreams, SmallDifferenceOfLatencyLeavesTheChoiceToTheLoad) {
  for (int I = 0; I < 60; ++I) {
    recordLatency(Table, "a", "read", milliseconds(50), at(100));
    recordLatency(Table, "b", "read", milliseconds(52), at(100));
  }
  answer("a", loadOf(10, 3));
  answer("b", loadOf(10, 1));
  STRCMP_EQUAL("b", choose({0.0, 0.0}).c_str());
}
