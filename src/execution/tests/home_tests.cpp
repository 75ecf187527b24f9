#include "execution/home.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

using namespace figplank;
using namespace figplank::execution;
using configuration::roster_member;
using configuration::service_settings;
using framework::milliseconds;
using framework::outcome;
using framework::refusal_reason;
using framework::wall_time;

namespace {

const std::string SelfAddress = "127.0.0.1:1";
const std::string OtherAddress = "127.0.0.1:2";

wall_time at(std::int64_t Milliseconds) {
  return wall_time(milliseconds(Milliseconds));
}

request_id idAt(std::int64_t Milliseconds, std::uint64_t Low = 1) {
  return makeRequestId(at(Milliseconds), 7, Low);
}

service_settings
serviceOf(const std::vector<roster_member> &Roster,
          const std::vector<std::vector<roster_member>> &Previous = {}) {
  service_settings Service;
  Service.Name = "ledger";
  Service.Slots = 10;
  Service.Roster = Roster;
  Service.PreviousRosters = Previous;
  return Service;
}

roster_member self() { return {"ledger-1", "z1", SelfAddress}; }
roster_member other() { return {"ledger-2", "z2", OtherAddress}; }

/// A home that started at time 0 and is the only member of its roster.
home_table onlyHome(const home_settings &Settings = {}) {
  home_table Table = makeHomeTable(Settings, at(0));
  updateRoster(Table, serviceOf({self()}), at(0));
  return Table;
}

/// An id issued at \p Milliseconds whose home in {self, other} is \p Address.
request_id idWithHome(std::int64_t Milliseconds, const std::string &Address) {
  for (std::uint64_t Low = 1;; ++Low) {
    request_id Id = idAt(Milliseconds, Low);
    if (homeOf(Id, {self(), other()})->Address == Address) {
      return Id;
    }
  }
}

} // namespace

TEST_GROUP(Home){};

TEST(Home, NewIdRunsOnceAndCopiesAwaitThatRun) {
  home_table Table = onlyHome();
  request_id Id = idAt(10'000);
  CHECK(decideRun(Table, Id, SelfAddress, false, at(10'000)).Verdict ==
        home_verdict::Run);
  CHECK(decideRun(Table, Id, SelfAddress, false, at(10'001)).Verdict ==
        home_verdict::AwaitRun);
  completeRun(Table, Id, {200, "text/plain", "done"});
  home_decision Again = decideRun(Table, Id, SelfAddress, false, at(10'002));
  CHECK(Again.Verdict == home_verdict::AnswerFromRecord);
  CHECK(Again.Outcome == outcome::Completed);
  STRCMP_EQUAL("done", findRecord(Table, Id)->Answer.Body.c_str());
}

TEST(Home, FencedIdNeverRunsLater) {
  home_table Table = onlyHome();
  request_id Id = idAt(10'000);
  decideRun(Table, Id, SelfAddress, false, at(10'000));
  fenceRun(Table, Id, refusal_reason::Overload);
  home_decision Copy = decideRun(Table, Id, SelfAddress, false, at(60'000));
  CHECK(Copy.Verdict == home_verdict::Refuse);
  CHECK(Copy.Outcome == outcome::NotRun);
  CHECK(Copy.Reason == refusal_reason::Overload);
}

TEST(Home, LostOutcomeStaysUnknown) {
  home_table Table = onlyHome();
  request_id Id = idAt(10'000);
  decideRun(Table, Id, SelfAddress, false, at(10'000));
  recordLostOutcome(Table, Id, refusal_reason::ConnectionLost);
  home_decision Copy = decideRun(Table, Id, SelfAddress, false, at(10'100));
  CHECK(Copy.Outcome == outcome::Unknown);
  CHECK(Copy.Reason == refusal_reason::ConnectionLost);
}

TEST(Home, ReplacedHomeRunsOnlyIdsIssuedAfterItsStart) {
  home_table Table = makeHomeTable({}, at(100'000));
  updateRoster(Table, serviceOf({self()}), at(100'000));
  home_decision Old =
      decideRun(Table, idAt(99'999), SelfAddress, false, at(100'500));
  CHECK(Old.Outcome == outcome::Unknown);
  CHECK(Old.Reason == refusal_reason::IdBeforeStart);
  // Up to the clock bound after the start, the id may have been issued earlier
  // by a clock that is ahead.
  home_decision Near =
      decideRun(Table, idAt(102'000), SelfAddress, false, at(102'000));
  CHECK(Near.Reason == refusal_reason::IdBeforeStart);
  home_decision New =
      decideRun(Table, idAt(102'001), SelfAddress, false, at(102'001));
  CHECK(New.Verdict == home_verdict::Run);
}

TEST(Home, IdsOutsideTheClockBoundsAreUnknown) {
  home_table Table = onlyHome();
  home_decision Future =
      decideRun(Table, idAt(20'000), SelfAddress, false, at(10'000));
  CHECK(Future.Reason == refusal_reason::IdFromFuture);
  CHECK(Future.Outcome == outcome::Unknown);
  home_decision Old =
      decideRun(Table, idAt(10'000), SelfAddress, false, at(200'000));
  CHECK(Old.Reason == refusal_reason::IdExpired);
  CHECK(Old.Outcome == outcome::Unknown);
}

TEST(Home, DeletedIdsStayRefusedWhenTheClockIsSetBack) {
  home_table Table = onlyHome();
  request_id Id = idAt(10'000);
  decideRun(Table, Id, SelfAddress, false, at(10'000));
  completeRun(Table, Id, {200, "", "done"});
  deleteExpiredRecords(Table, at(200'000));
  POINTERS_EQUAL(nullptr, findRecord(Table, Id));
  home_decision Copy = decideRun(Table, Id, SelfAddress, false, at(11'000));
  CHECK(Copy.Verdict == home_verdict::Refuse);
  CHECK(Copy.Reason == refusal_reason::IdExpired);
}

TEST(Home, OnlyTheHomeInTheRosterRunsAnId) {
  home_table Table = makeHomeTable({}, at(0));
  updateRoster(Table, serviceOf({self(), other()}), at(0));
  home_decision Foreign = decideRun(Table, idWithHome(10'000, OtherAddress),
                                    SelfAddress, false, at(10'000));
  CHECK(Foreign.Reason == refusal_reason::HomeMoved);
  CHECK(Foreign.Outcome == outcome::Unknown);
  CHECK(decideRun(Table, idWithHome(10'000, SelfAddress), SelfAddress, false,
                  at(10'000))
            .Verdict == home_verdict::Run);
}

TEST(Home, NewHomeAsksThePreviousOneFirst) {
  home_table Table = makeHomeTable({}, at(0));
  updateRoster(Table, serviceOf({self()}, {{other()}}), at(0));
  request_id Id = idAt(10'000);
  home_decision Ask = decideRun(Table, Id, SelfAddress, false, at(10'000));
  CHECK(Ask.Verdict == home_verdict::AskPriorHomes);
  STRCMP_EQUAL(OtherAddress.c_str(), Ask.PriorHomes.at(0).c_str());
  CHECK(decideRun(Table, Id, SelfAddress, true, at(10'000)).Verdict ==
        home_verdict::Run);
}

TEST(Home, PreviousHomeHandsAnIdOverToOneHomeOnly) {
  home_table Old = onlyHome();
  request_id Id = idAt(10'000);
  CHECK(handOver(Old, Id, SelfAddress, OtherAddress, {}, at(10'000)) ==
        handover_verdict::Granted);
  CHECK(handOver(Old, Id, SelfAddress, OtherAddress, {}, at(10'001)) ==
        handover_verdict::Granted);
  CHECK(handOver(Old, Id, SelfAddress, "127.0.0.1:3", {}, at(10'002)) ==
        handover_verdict::Indeterminate);
  home_decision Copy = decideRun(Old, Id, SelfAddress, false, at(10'003));
  CHECK(Copy.Verdict == home_verdict::Refuse);
  CHECK(Copy.Outcome == outcome::Unknown);
}

TEST(Home, PreviousHomeReportsItsRuns) {
  home_table Old = onlyHome();
  request_id Id = idAt(10'000);
  decideRun(Old, Id, SelfAddress, false, at(10'000));
  CHECK(handOver(Old, Id, SelfAddress, OtherAddress, {}, at(10'001)) ==
        handover_verdict::Running);
  completeRun(Old, Id, {200, "", "done"});
  CHECK(handOver(Old, Id, SelfAddress, OtherAddress, {}, at(10'002)) ==
        handover_verdict::Recorded);
}

TEST(Home, ReplacedPreviousHomeDoesNotGrantEarlierIds) {
  home_table Old = makeHomeTable({}, at(50'000));
  updateRoster(Old, serviceOf({self()}), at(50'000));
  CHECK(handOver(Old, idAt(40'000), SelfAddress, OtherAddress, {},
                 at(60'000)) == handover_verdict::Indeterminate);
}

TEST(Home, SecondOfThreeHomesDoesNotGrantBeforeTheFirst) {
  home_table Second = makeHomeTable({}, at(0));
  updateRoster(Second, serviceOf({self()}, {{other()}}), at(0));
  CHECK(handOver(Second, idAt(10'000), SelfAddress, "127.0.0.1:3", {},
                 at(10'000)) == handover_verdict::Indeterminate);
}

TEST(Home, SecondOfThreeHomesGrantsAfterTheFirst) {
  home_table Second = makeHomeTable({}, at(0));
  updateRoster(Second, serviceOf({self()}, {{other()}}), at(0));
  CHECK(handOver(Second, idAt(10'000), SelfAddress, "127.0.0.1:3",
                 {OtherAddress}, at(10'000)) == handover_verdict::Granted);
}

TEST(Home, AllPreviousHomesAreAskedOldestFirst) {
  home_table Table = makeHomeTable({}, at(0));
  roster_member Oldest{"ledger-3", "z3", "127.0.0.1:3"};
  updateRoster(Table, serviceOf({self()}, {{other()}, {Oldest}}), at(0));
  home_decision Ask =
      decideRun(Table, idAt(10'000), SelfAddress, false, at(10'000));
  LONGS_EQUAL(2, Ask.PriorHomes.size());
  STRCMP_EQUAL("127.0.0.1:3", Ask.PriorHomes[0].c_str());
  STRCMP_EQUAL(OtherAddress.c_str(), Ask.PriorHomes[1].c_str());
}

TEST(Home, RosterChangeWithoutPreviousRosterLeavesEarlierIdsUnknown) {
  home_table Table = makeHomeTable({}, at(0));
  updateRoster(Table, serviceOf({self(), other()}), at(0));
  request_id Moved = idWithHome(10'000, OtherAddress);
  updateRoster(Table, serviceOf({self()}), at(11'000));
  home_decision Decision =
      decideRun(Table, Moved, SelfAddress, false, at(11'500));
  CHECK(Decision.Outcome == outcome::Unknown);
  CHECK(Decision.Reason == refusal_reason::HomeMoved);
  request_id Later = idWithHome(13'001, OtherAddress);
  CHECK(decideRun(Table, Later, SelfAddress, false, at(13'001)).Verdict ==
        home_verdict::Run);
}

TEST(Home, RemovedPreviousRosterLeavesItsIdsUnknown) {
  home_table Table = makeHomeTable({}, at(0));
  updateRoster(Table, serviceOf({self()}, {{other()}}), at(0));
  updateRoster(Table, serviceOf({self()}), at(20'000));
  home_decision Decision =
      decideRun(Table, idAt(19'000), SelfAddress, false, at(20'100));
  CHECK(Decision.Reason == refusal_reason::HomeMoved);
}

TEST(Home, SameNameAtAnotherAddressIsAnotherHome) {
  home_table Table = makeHomeTable({}, at(0));
  roster_member Before = self();
  Before.Address = OtherAddress;
  updateRoster(Table, serviceOf({Before}), at(0));
  CHECK(decideRun(Table, idAt(10'000), SelfAddress, false, at(10'000)).Reason ==
        refusal_reason::HomeMoved);
  updateRoster(Table, serviceOf({self()}), at(12'000));
  CHECK(decideRun(Table, idAt(10'000), SelfAddress, false, at(12'100)).Reason ==
        refusal_reason::HomeMoved);
}

TEST(Home, HomeResumedAfterAPauseRefusesEarlierIds) {
  home_table Table = onlyHome();
  refuseIdsIssuedUntil(Table, at(100'000));
  CHECK(
      decideRun(Table, idAt(99'000), SelfAddress, false, at(100'100)).Reason ==
      refusal_reason::IdBeforeStart);
}

TEST(Home, FullTableRefusesNewIdsAndKeepsRunningOnes) {
  home_settings Settings;
  Settings.MaxRuns = 2;
  Settings.MaxFences = 1;
  home_table Table = onlyHome(Settings);
  request_id First = idAt(10'000, 1);
  request_id Second = idAt(10'000, 2);
  decideRun(Table, First, SelfAddress, false, at(10'000));
  decideRun(Table, Second, SelfAddress, false, at(10'000));
  home_decision Third =
      decideRun(Table, idAt(10'000, 3), SelfAddress, false, at(10'000));
  CHECK(Third.Outcome == outcome::NotRun);
  CHECK(Third.Reason == refusal_reason::OutcomeTableFull);
  // The table has no room for another fence, so the outcome can't be "not run".
  home_decision Fourth =
      decideRun(Table, idAt(10'000, 4), SelfAddress, false, at(10'000));
  CHECK(Fourth.Outcome == outcome::Unknown);
  CHECK(decideRun(Table, First, SelfAddress, false, at(10'500)).Verdict ==
        home_verdict::AwaitRun);
  CHECK(decideRun(Table, Second, SelfAddress, false, at(10'500)).Verdict ==
        home_verdict::AwaitRun);
}

TEST(Home, RunningIdIsKeptBeyondTheRetention) {
  home_table Table = onlyHome();
  request_id Id = idAt(10'000);
  decideRun(Table, Id, SelfAddress, false, at(10'000));
  CHECK(decideRun(Table, Id, SelfAddress, false, at(500'000)).Verdict ==
        home_verdict::AwaitRun);
  completeRun(Table, Id, {200, "", "done"});
  deleteExpiredRecords(Table, at(500'001));
  LONGS_EQUAL(0, Table.Runs);
  LONGS_EQUAL(0, Table.AnswerBytes);
}

TEST(Home, IdsSpreadEvenlyAndMoveOnlyFromARemovedMember) {
  std::vector<roster_member> Three{
      self(), other(), {"ledger-3", "z3", "127.0.0.1:3"}};
  std::vector<roster_member> Two{self(), other()};
  std::map<std::string, int> Counts;
  int Moved = 0;
  for (std::uint64_t Low = 1; Low <= 3'000; ++Low) {
    request_id Id = idAt(1'000, Low);
    std::string Home = homeOf(Id, Three)->Name;
    ++Counts[Home];
    Moved += Home != "ledger-3" && homeOf(Id, Two)->Name != Home ? 1 : 0;
  }
  for (const auto &[Name, Count] : Counts) {
    CHECK(Count > 800 && Count < 1'200);
  }
  LONGS_EQUAL(0, Moved);
}
