/// \file
/// Predicts whether an entry node can complete a delivery round before its
/// deadline. A round is a batch of requests that is accepted or refused as a
/// whole.
#pragma once

#include "framework/timetypes.h"

#include <cstddef>

namespace figplank::admission {

struct round_settings {
  /// Requests of rounds that one entry node runs concurrently.
  std::size_t MaxConcurrent = 16;
  /// Fraction of the time until the deadline that an accepted round is expected
  /// to take at most; the rest is a safety margin.
  double MaxDeadlineFraction = 0.5;
  /// Initial value of the smoothed latency.
  framework::milliseconds InitialLatency{50};
  /// Weight of a new measurement in the exponentially smoothed latency.
  double Smoothing = 0.1;
};

/// Load on an entry node from the rounds that it has accepted.
struct round_load {
  round_settings Settings;
  /// Requests of accepted rounds that have not ended.
  std::size_t Outstanding = 0;
  /// Smoothed latency of one request.
  double LatencySeconds = 0.0;
};

round_load makeRoundLoad(const round_settings &Settings);

/// Expected time until \p Requests more requests and all accepted before them
/// have ended.
framework::microseconds expectedDuration(const round_load &Load,
                                         std::size_t Requests);

/// Whether a round of \p Requests requests is expected to end within
/// MaxDeadlineFraction of the time left until \p Deadline.
bool canCompleteRound(const round_load &Load, std::size_t Requests,
                      framework::monotonic_time Deadline,
                      framework::monotonic_time Now);

/// Records the latency of one request, including its retries.
void recordRoundLatency(round_load &Load, framework::microseconds Latency);

} // namespace figplank::admission
