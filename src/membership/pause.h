/// \file
/// Detection of pauses of this process: after a jump between two readings of
/// the monotonic clock everything learnt before is treated as stale.
#pragma once

#include "framework/timetypes.h"

namespace figplank::membership {

struct pause_detector {
  framework::monotonic_time LastTick;
  /// Gap between ticks that counts as a pause; ticks come far more often.
  framework::milliseconds Threshold{1'500};
};

/// Records a tick. Returns the length of the pause that ended with it, or 0.
framework::milliseconds observeTick(pause_detector &Detector,
                                    framework::monotonic_time Now);

} // namespace figplank::membership
