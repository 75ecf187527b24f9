#include "membership/pause.h"

namespace figplank::membership {

framework::milliseconds observeTick(pause_detector &Detector,
                                    framework::monotonic_time Now) {
  auto Gap = std::chrono::duration_cast<framework::milliseconds>(
      Now - Detector.LastTick);
  Detector.LastTick = Now;
  return Gap > Detector.Threshold ? Gap : framework::milliseconds(0);
}

} // namespace figplank::membership
