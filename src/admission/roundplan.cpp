#include "admission/roundplan.h"

#include <cmath>

namespace figplank::admission {

round_load makeRoundLoad(const round_settings &Settings) {
  round_load Load;
  Load.Settings = Settings;
  Load.LatencySeconds =
      std::chrono::duration<double>(Settings.InitialLatency).count();
  return Load;
}

framework::microseconds expectedDuration(const round_load &Load,
                                         std::size_t Requests) {
  auto Pending = static_cast<double>(Load.Outstanding + Requests);
  double Batches =
      std::ceil(Pending / static_cast<double>(Load.Settings.MaxConcurrent));
  return std::chrono::duration_cast<framework::microseconds>(
      std::chrono::duration<double>(Batches * Load.LatencySeconds));
}

bool canCompleteRound(const round_load &Load, std::size_t Requests,
                      framework::monotonic_time Deadline,
                      framework::monotonic_time Now) {
  auto TimeBudget = std::chrono::duration_cast<framework::microseconds>(
      Load.Settings.MaxDeadlineFraction * (Deadline - Now));
  return expectedDuration(Load, Requests) <= TimeBudget;
}

void recordRoundLatency(round_load &Load, framework::microseconds Latency) {
  double Seconds = std::chrono::duration<double>(Latency).count();
  Load.LatencySeconds +=
      Load.Settings.Smoothing * (Seconds - Load.LatencySeconds);
}

} // namespace figplank::admission
