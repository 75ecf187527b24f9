/// \file
/// Whether an entry can carry a delivery round, a batch that is served whole
/// or refused whole, in time.
#pragma once

#include "framework/timetypes.h"

#include <cstddef>

namespace figplank::admission {

struct round_settings {
  /// Requests of rounds that one entry sends side by side.
  std::size_t MaxConcurrent = 16;
  /// Part of the time to the deadline that the round may be expected to take.
  double SafeFraction = 0.5;
  /// Time of one request before any was measured.
  framework::milliseconds FirstLatency{50};
  /// Weight of a new measurement.
  double Smoothing = 0.1;
};

/// What an entry knows of the rounds that it carries.
struct round_load {
  round_settings Settings;
  /// Requests of accepted rounds that have not ended.
  std::size_t Outstanding = 0;
  double LatencySeconds = 0.0;
};

round_load makeRoundLoad(const round_settings &Settings);

/// Expected time until \p Requests more have ended behind those accepted.
framework::microseconds expectedTime(const round_load &Load,
                                     std::size_t Requests);

/// Whether a round of \p Requests is expected to end well before \p Deadline.
bool canCompleteRound(const round_load &Load, std::size_t Requests,
                      framework::monotonic_time Deadline,
                      framework::monotonic_time Now);

/// Records the time of one request, retries included.
void recordRoundLatency(round_load &Load, framework::microseconds Taken);

} // namespace figplank::admission
