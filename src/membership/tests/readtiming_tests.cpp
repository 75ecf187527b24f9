#include "membership/readtiming.h"

#include <CppUTest/TestHarness.h>

using namespace figplank::membership;
using figplank::framework::milliseconds;

namespace {

constexpr read_timing_settings Settings;

} // namespace

TEST_GROUP(ReadTiming) { read_timing Timing; };

TEST(ReadTiming, WaitsDifferBetweenReaders) {
  CHECK(planRead(Settings, Timing, 0.0).Wait == Settings.MinWait);
  CHECK(planRead(Settings, Timing, 0.5).Wait == milliseconds(1'500));
  CHECK(planRead(Settings, Timing, 0.999).Wait > milliseconds(1'990));
}

TEST(ReadTiming, OnlyRepeatedFailuresAreDelayed) {
  CHECK(recordRead(Settings, Timing, read_result::NoAnswer) == milliseconds(0));
  CHECK(recordRead(Settings, Timing, read_result::Failed) ==
        Settings.RetryDelay);
  CHECK(recordRead(Settings, Timing, read_result::Changed) ==
        Settings.BatchDelay);
  CHECK(recordRead(Settings, Timing, read_result::Unchanged) ==
        milliseconds(0));
  CHECK(recordRead(Settings, Timing, read_result::Failed) == milliseconds(0));
}

TEST(ReadTiming, SlowPlatformGetsMoreTimeToAnswer) {
  for (int I = 0; I < 10; ++I) {
    recordRead(Settings, Timing, read_result::NoAnswer);
  }
  CHECK(planRead(Settings, Timing, 0.0).AnswerMargin ==
        Settings.MaxAnswerMargin);
  recordRead(Settings, Timing, read_result::Unchanged);
  milliseconds AfterAnswer = planRead(Settings, Timing, 0.0).AnswerMargin;
  CHECK(AfterAnswer < Settings.MaxAnswerMargin);
  CHECK(AfterAnswer > milliseconds(1'000));
  for (int I = 0; I < 30; ++I) {
    recordRead(Settings, Timing, read_result::Unchanged);
  }
  CHECK(planRead(Settings, Timing, 0.0).AnswerMargin == Settings.AnswerMargin);
}

// Guards against readers that learn only from the answer to a long watch that
// the platform is there after a closed connection (DRAIN).
TEST(ReadTiming, ReadAfterAFailureIsAnsweredAtOnce) {
  recordRead(Settings, Timing, read_result::Failed);
  CHECK(planRead(Settings, Timing, 0.9).Wait == Settings.WaitAfterFailure);
  recordRead(Settings, Timing, read_result::Unchanged);
  CHECK(planRead(Settings, Timing, 0.9).Wait >= Settings.MinWait);
}

TEST(ReadTiming, RefusedReadsNeedNoMoreTimeToAnswer) {
  recordRead(Settings, Timing, read_result::Failed);
  CHECK(planRead(Settings, Timing, 0.0).AnswerMargin == Settings.AnswerMargin);
}
