#include "admission/roundplan.h"

#include <cmath>

namespace figplank::admission {

round_load makeRoundLoad(const round_settings &Settings) {
  round_load Load;
  Load.Settings = Settings;
  Load.LatencySeconds =
      std::chrono::duration<double>(Settings.FirstLatency).count();
  return Load;
}

framework::microseconds expectedTime(const round_load &Load,
                                     std::size_t Requests) {
  auto Waiting = static_cast<double>(Load.Outstanding + Requests);
  double Turns =
      std::ceil(Waiting / static_cast<double>(Load.Settings.MaxConcurrent));
  return std::chrono::duration_cast<framework::microseconds>(
      std::chrono::duration<double>(Turns * Load.LatencySeconds));
}

bool canCompleteRound(const round_load &Load, std::size_t Requests,
                      framework::monotonic_time Deadline,
                      framework::monotonic_time Now) {
  auto Safe = std::chrono::duration_cast<framework::microseconds>(
      Load.Settings.SafeFraction * (Deadline - Now));
  return expectedTime(Load, Requests) <= Safe;
}

void recordRoundLatency(round_load &Load, framework::microseconds Taken) {
  double Seconds = std::chrono::duration<double>(Taken).count();
  Load.LatencySeconds +=
      Load.Settings.Smoothing * (Seconds - Load.LatencySeconds);
}

} // namespace figplank::admission
