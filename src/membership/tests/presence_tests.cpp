#include "membership/presence.h"

#include <CppUTest/TestHarness.h>

using namespace figplank::membership;
using figplank::framework::milliseconds;
using figplank::framework::monotonic_time;

namespace {

constexpr entry_expiry Expiry{milliseconds(1'500)};
constexpr monotonic_time Start{std::chrono::hours(1)};

/// Records answers each second from \p From up to \p To.
void answerSteadily(platform_presence &Presence, monotonic_time From,
                    monotonic_time To) {
  for (monotonic_time At = From; At <= To; At += milliseconds(1'000)) {
    recordAnswer(Expiry, Presence, At);
  }
}

} // namespace

TEST_GROUP(Presence) {
  platform_presence Presence;
  monotonic_time Steady = Start + milliseconds(10'000);

  void setup() override { answerSteadily(Presence, Start, Steady); }
};

TEST(Presence, AbsenceOfTwoRenewalsAtLeastIsNeeded) {
  CHECK(shortestAbsence(Expiry) == milliseconds(2'625));
}

TEST(Presence, ShortInterruptionHoldsNothingBack) {
  monotonic_time Answer = Steady + milliseconds(2'500);
  CHECK_FALSE(recordAnswer(Expiry, Presence, Answer));
  CHECK_FALSE(mayLackEntries(Expiry, Presence, Answer));
}

TEST(Presence, EntriesMayLackForAWhileAfterALongAbsence) {
  monotonic_time Return = Steady + milliseconds(4'500);
  CHECK_FALSE(mayLackEntries(Expiry, Presence, Return));
  CHECK(recordAnswer(Expiry, Presence, Return));
  CHECK(mayLackEntries(Expiry, Presence, Return + milliseconds(2'200)));
  CHECK_FALSE(mayLackEntries(Expiry, Presence, Return + Expiry.ReturnTime));
}

TEST(Presence, EntriesThatNeverExpireDoNotLack) {
  CHECK_FALSE(mayLackEntries(entry_expiry(), platform_presence(), Start));
}

TEST(Presence, WithoutKnowledgeEntriesMayLack) {
  platform_presence New;
  CHECK(mayLackEntries(Expiry, New, Start));
  CHECK(recordAnswer(Expiry, New, Start));
  CHECK(mayLackEntries(Expiry, New, Start + milliseconds(1'000)));
}

// Guards against a node that has had no answer for long and takes that for an
// absence, though the platform has answered others (DRAIN).
TEST(Presence, AnswersToOthersFillTheGap) {
  platform_presence CutOff = Presence;
  answerSteadily(Presence, Steady, Steady + milliseconds(8'000));
  monotonic_time Now = Steady + milliseconds(8'100);
  recordAnswer(Expiry, CutOff, Now);
  CHECK(mayLackEntries(Expiry, CutOff, Now));
  adoptReport(Expiry, CutOff, *reportPresence(Presence, Now), Now, Now);
  CHECK_FALSE(mayLackEntries(Expiry, CutOff, Now));
}

TEST(Presence, NewNodeLearnsFromAnother) {
  platform_presence New;
  adoptReport(Expiry, New, *reportPresence(Presence, Steady), Steady, Steady);
  CHECK_FALSE(mayLackEntries(Expiry, New, Steady));
  CHECK_FALSE(recordAnswer(Expiry, New, Steady + milliseconds(100)));
}

// Guards against a node that becomes a reader right after an outage and knows
// nothing of it.
TEST(Presence, NodeLearnsOfAReturnFromAnother) {
  platform_presence Idle = Presence;
  monotonic_time Return = Steady + milliseconds(5'000);
  answerSteadily(Presence, Return, Return + milliseconds(1'000));
  monotonic_time Now = Return + milliseconds(1'100);
  adoptReport(Expiry, Idle, *reportPresence(Presence, Now), Now, Now);
  CHECK(mayLackEntries(Expiry, Idle, Now));
  CHECK_FALSE(recordAnswer(Expiry, Idle, Now + milliseconds(100)));
  CHECK(mayLackEntries(Expiry, Idle, Now + milliseconds(100)));
}

// Guards against a node without knowledge that makes all others hold removals
// back (DRAIN).
TEST(Presence, NewNodeDoesNotShortenWhatOthersKnow) {
  platform_presence New;
  monotonic_time Now = Steady + milliseconds(500);
  recordAnswer(Expiry, New, Now);
  adoptReport(Expiry, Presence, *reportPresence(New, Now), Now, Now);
  CHECK_FALSE(mayLackEntries(Expiry, Presence, Now));
}

TEST(Presence, OlderSpanDoesNotReplaceALaterOne) {
  platform_presence Old = Presence;
  monotonic_time Return = Steady + milliseconds(5'000);
  answerSteadily(Presence, Return, Return + milliseconds(1'000));
  monotonic_time Now = Return + milliseconds(1'100);
  adoptReport(Expiry, Presence, *reportPresence(Old, Now), Now, Now);
  CHECK(mayLackEntries(Expiry, Presence, Now));
}

// Guards against a report that has waited in a stopped process and makes an
// absence meanwhile look filled.
TEST(Presence, ReportCountsFromTheQuestionOn) {
  platform_presence Stopped = Presence;
  auto Report = reportPresence(Presence, Steady);
  monotonic_time Now = Steady + milliseconds(6'000);
  adoptReport(Expiry, Stopped, *Report, Steady, Now);
  CHECK(Stopped.Answering->End == Steady);
  CHECK(recordAnswer(Expiry, Stopped, Now));
}

TEST(Presence, ReportsBackAndForthChangeNothing) {
  platform_presence Other;
  answerSteadily(Other, Start, Steady);
  const answering_span Before = *Presence.Answering;
  const milliseconds Transit{7};
  for (int I = 0; I < 100; ++I) {
    monotonic_time Now = Steady + Transit * I;
    adoptReport(Expiry, Other, *reportPresence(Presence, Now), Now - Transit,
                Now + Transit);
    adoptReport(Expiry, Presence, *reportPresence(Other, Now), Now - Transit,
                Now + Transit);
  }
  CHECK(Presence.Answering->Begin == Before.Begin);
  CHECK(Presence.Answering->End == Before.End);
}

TEST(Presence, ReturnFromACopyMayLackEntries) {
  Presence.CopySeen = Steady;
  CHECK(mayLackEntries(Expiry, Presence, Steady + milliseconds(2'200)));
  CHECK_FALSE(mayLackEntries(Expiry, Presence, Steady + Expiry.ReturnTime));
}
