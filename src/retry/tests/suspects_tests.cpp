#include "retry/suspects.h"

#include <CppUTest/TestHarness.h>

using namespace figplank::retry;
using figplank::framework::milliseconds;
using figplank::framework::monotonic_time;

namespace {

constexpr fingerprint CrashingRequest = 1;
constexpr fingerprint HarmlessRequest = 2;
constexpr fingerprint OtherRequest = 3;

monotonic_time at(int Milliseconds) {
  return monotonic_time(milliseconds(Milliseconds));
}

} // namespace

TEST_GROUP(Suspects) { suspect_table Table; };

TEST(Suspects, UnreportedRequestIsClear) {
  CHECK(checkSuspect(Table, CrashingRequest, at(0)) == suspect_verdict::Clear);
}

TEST(Suspects, SecondCrashInIsolationQuarantinesOnlyTheCulprit) {
  applyCrashReport(
      Table, makeCrashReport(Table, 100, {CrashingRequest, HarmlessRequest}),
      at(0));
  CHECK(checkSuspect(Table, CrashingRequest, at(1)) ==
        suspect_verdict::RunAlone);
  recordSuspectStart(Table, CrashingRequest);
  CHECK(checkSuspect(Table, HarmlessRequest, at(2)) == suspect_verdict::Wait);
  applyCrashReport(Table,
                   makeCrashReport(Table, 101, {CrashingRequest, OtherRequest}),
                   at(3));
  recordRunEnd(Table, CrashingRequest, false);
  CHECK(checkSuspect(Table, CrashingRequest, at(4)) ==
        suspect_verdict::Quarantined);
  CHECK(checkSuspect(Table, HarmlessRequest, at(4)) ==
        suspect_verdict::RunAlone);
  CHECK(checkSuspect(Table, OtherRequest, at(4)) == suspect_verdict::RunAlone);
}

TEST(Suspects, SuspectThatCompletesIsCleared) {
  applyCrashReport(
      Table, makeCrashReport(Table, 100, {CrashingRequest, HarmlessRequest}),
      at(0));
  recordSuspectStart(Table, HarmlessRequest);
  recordRunEnd(Table, HarmlessRequest, true);
  CHECK(checkSuspect(Table, HarmlessRequest, at(1)) == suspect_verdict::Clear);
  CHECK(checkSuspect(Table, CrashingRequest, at(1)) ==
        suspect_verdict::RunAlone);
}

TEST(Suspects, ReportsOfTwoNodesCombineInEitherOrder) {
  crash_report First{100, {CrashingRequest, HarmlessRequest}, 0};
  crash_report Second{200, {CrashingRequest, OtherRequest}, 0};
  suspect_table Reverse;
  applyCrashReport(Table, First, at(0));
  applyCrashReport(Table, Second, at(1));
  applyCrashReport(Reverse, Second, at(0));
  applyCrashReport(Reverse, First, at(1));
  for (suspect_table *Each : {&Table, &Reverse}) {
    CHECK(checkSuspect(*Each, CrashingRequest, at(2)) ==
          suspect_verdict::Quarantined);
    CHECK(checkSuspect(*Each, HarmlessRequest, at(2)) ==
          suspect_verdict::RunAlone);
  }
}

TEST(Suspects, IsolatedRunsDistinguishPairReportedTwice) {
  // Both requests were repeated before the first report arrived.
  applyCrashReport(Table, {100, {CrashingRequest, HarmlessRequest}, 0}, at(0));
  applyCrashReport(Table, {200, {CrashingRequest, HarmlessRequest}, 0}, at(1));
  CHECK(checkSuspect(Table, CrashingRequest, at(2)) ==
        suspect_verdict::RunAlone);
  recordSuspectStart(Table, HarmlessRequest);
  recordRunEnd(Table, HarmlessRequest, true);
  CHECK(checkSuspect(Table, HarmlessRequest, at(3)) == suspect_verdict::Clear);
  recordSuspectStart(Table, CrashingRequest);
  applyCrashReport(Table, makeCrashReport(Table, 300, {CrashingRequest}),
                   at(4));
  CHECK(checkSuspect(Table, CrashingRequest, at(5)) ==
        suspect_verdict::Quarantined);
}

TEST(Suspects, RepeatedReportCountsOnce) {
  CHECK_TRUE(applyCrashReport(Table, {100, {CrashingRequest}, 0}, at(0)));
  CHECK_FALSE(applyCrashReport(Table, {100, {CrashingRequest}, 0}, at(1)));
  CHECK(checkSuspect(Table, CrashingRequest, at(2)) ==
        suspect_verdict::RunAlone);
}

TEST(Suspects, TableIsBoundedAndSuspectsExpire) {
  Table.Settings.MaxSuspects = 10;
  for (fingerprint I = 1; I <= 100; ++I) {
    applyCrashReport(Table, {I, {I}, 0}, at(static_cast<int>(I)));
    CHECK(Table.Suspects.size() <= 10);
  }
  CHECK(checkSuspect(Table, 100, at(200)) == suspect_verdict::RunAlone);
  CHECK(checkSuspect(Table, 100, at(700'000)) == suspect_verdict::Clear);
}

TEST(Suspects, FingerprintDistinguishesRequests) {
  const fingerprint First = fingerprintOf("t", "o", "/p", "body");
  CHECK(fingerprintOf("t", "o", "/p", "body") == First);
  CHECK(fingerprintOf("t", "p", "/p", "body") != First);
  CHECK(fingerprintOf("t", "o", "/p", "body2") != First);
  // Read requests of one route differ only in their path.
  CHECK(fingerprintOf("r", "", "/read/1", "") !=
        fingerprintOf("r", "", "/read/2", ""));
}
