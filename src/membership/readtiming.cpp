#include "membership/readtiming.h"

#include <algorithm>

namespace figplank::membership {

using framework::milliseconds;

read_times planRead(const read_timing_settings &Settings,
                    const read_timing &Timing, double Draw) {
  auto Spread = Settings.MaxWait - Settings.MinWait;
  auto Drawn = std::chrono::duration_cast<milliseconds>(Spread * Draw);
  return {Timing.LastReadFailed ? Settings.WaitAfterFailure
                                : Settings.MinWait + Drawn,
          std::max(Timing.AnswerMargin, Settings.AnswerMargin)};
}

milliseconds recordRead(const read_timing_settings &Settings,
                        read_timing &Timing, read_result Result) {
  bool Failed =
      Result == read_result::NoAnswer || Result == read_result::Failed;
  bool FailedBefore = Timing.LastReadFailed;
  Timing.LastReadFailed = Failed;
  if (!Failed) {
    // NOTE The margin shrinks slowly, so that a platform that stays slow is not
    // given up at each second read.
    Timing.AnswerMargin = Timing.AnswerMargin * 7 / 8;
    return Result == read_result::Changed ? Settings.BatchDelay
                                          : milliseconds(0);
  }
  if (Result == read_result::NoAnswer) {
    Timing.AnswerMargin =
        std::min(std::max(Timing.AnswerMargin, Settings.AnswerMargin) * 2,
                 Settings.MaxAnswerMargin);
  }
  return FailedBefore ? Settings.RetryDelay : milliseconds(0);
}

} // namespace figplank::membership
