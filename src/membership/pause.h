/// \file
/// Detects pauses of this process by the gap between two readings of the
/// monotonic clock. After a pause, everything learnt before it is treated as
/// stale.
#pragma once

#include "framework/timetypes.h"

namespace figplank::membership {

struct pause_detector {
  framework::monotonic_time LastTick;
  /// A longer gap between two ticks counts as a pause. The interval of the
  /// ticks is far shorter.
  framework::milliseconds Threshold{1'500};
};

/// Records a tick at \p Now. Returns the length of the pause that it ends, or 0
/// if there was none.
framework::milliseconds observeTick(pause_detector &Detector,
                                    framework::monotonic_time Now);

} // namespace figplank::membership
