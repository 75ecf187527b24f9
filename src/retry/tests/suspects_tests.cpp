#include "retry/suspects.h"

#include <CppUTest/TestHarness.h>

using namespace figplank::retry;
using figplank::framework::milliseconds;
using figplank::framework::monotonic_time;

namespace {

constexpr fingerprint Poison = 1;
constexpr fingerprint Innocent = 2;
constexpr fingerprint Other = 3;

monotonic_time at(int Milliseconds) {
  return monotonic_time(milliseconds(Milliseconds));
}

} // namespace

TEST_GROUP(Suspects) { suspect_table Table; };

TEST(Suspects, UnknownRequestsAreClear) {
  CHECK(checkSuspect(Table, Poison, at(0)) == suspect_verdict::Clear);
}

TEST(Suspects, SecondCrashAloneCondemnsTheCulpritOnly) {
  applyCrashReport(Table, makeCrashReport(Table, 100, {Poison, Innocent}),
                   at(0));
  CHECK(checkSuspect(Table, Poison, at(1)) == suspect_verdict::RunAlone);
  recordSuspectStart(Table, Poison);
  CHECK(checkSuspect(Table, Innocent, at(2)) == suspect_verdict::Wait);
  applyCrashReport(Table, makeCrashReport(Table, 101, {Poison, Other}), at(3));
  recordRunEnd(Table, Poison, false);
  CHECK(checkSuspect(Table, Poison, at(4)) == suspect_verdict::Quarantined);
  CHECK(checkSuspect(Table, Innocent, at(4)) == suspect_verdict::RunAlone);
  CHECK(checkSuspect(Table, Other, at(4)) == suspect_verdict::RunAlone);
}

TEST(Suspects, SuspectThatCompletesIsCleared) {
  applyCrashReport(Table, makeCrashReport(Table, 100, {Poison, Innocent}),
                   at(0));
  recordSuspectStart(Table, Innocent);
  recordRunEnd(Table, Innocent, true);
  CHECK(checkSuspect(Table, Innocent, at(1)) == suspect_verdict::Clear);
  CHECK(checkSuspect(Table, Poison, at(1)) == suspect_verdict::RunAlone);
}

TEST(Suspects, ReportsOfTwoNodesMeetInEitherOrder) {
  crash_report First{100, {Poison, Innocent}, 0};
  crash_report Second{200, {Poison, Other}, 0};
  suspect_table Reverse;
  applyCrashReport(Table, First, at(0));
  applyCrashReport(Table, Second, at(1));
  applyCrashReport(Reverse, Second, at(0));
  applyCrashReport(Reverse, First, at(1));
  for (suspect_table *Each : {&Table, &Reverse}) {
    CHECK(checkSuspect(*Each, Poison, at(2)) == suspect_verdict::Quarantined);
    CHECK(checkSuspect(*Each, Innocent, at(2)) == suspect_verdict::RunAlone);
  }
}

TEST(Suspects, PairThatCrashedTogetherTwiceIsToldApart) {
  // Both were sent again before the first report had arrived.
  applyCrashReport(Table, {100, {Poison, Innocent}, 0}, at(0));
  applyCrashReport(Table, {200, {Poison, Innocent}, 0}, at(1));
  CHECK(checkSuspect(Table, Poison, at(2)) == suspect_verdict::RunAlone);
  recordSuspectStart(Table, Innocent);
  recordRunEnd(Table, Innocent, true);
  CHECK(checkSuspect(Table, Innocent, at(3)) == suspect_verdict::Clear);
  recordSuspectStart(Table, Poison);
  applyCrashReport(Table, makeCrashReport(Table, 300, {Poison}), at(4));
  CHECK(checkSuspect(Table, Poison, at(5)) == suspect_verdict::Quarantined);
}

TEST(Suspects, OneReportTakenTwiceCountsOnce) {
  CHECK_TRUE(applyCrashReport(Table, {100, {Poison}, 0}, at(0)));
  CHECK_FALSE(applyCrashReport(Table, {100, {Poison}, 0}, at(1)));
  CHECK(checkSuspect(Table, Poison, at(2)) == suspect_verdict::RunAlone);
}

TEST(Suspects, ExpireAndStayBounded) {
  Table.Settings.MaxSuspects = 10;
  for (fingerprint I = 1; I <= 100; ++I) {
    applyCrashReport(Table, {I, {I}, 0}, at(static_cast<int>(I)));
    CHECK(Table.Suspects.size() <= 10);
  }
  CHECK(checkSuspect(Table, 100, at(200)) == suspect_verdict::RunAlone);
  CHECK(checkSuspect(Table, 100, at(700'000)) == suspect_verdict::Clear);
}

TEST(Suspects, FingerprintTellsRequestsApart) {
  const fingerprint First = fingerprintOf("t", "o", "/p", "body");
  CHECK(fingerprintOf("t", "o", "/p", "body") == First);
  CHECK(fingerprintOf("t", "p", "/p", "body") != First);
  CHECK(fingerprintOf("t", "o", "/p", "body2") != First);
  // Reads of one route differ by their path alone.
  CHECK(fingerprintOf("r", "", "/read/1", "") !=
        fingerprintOf("r", "", "/read/2", ""));
}
