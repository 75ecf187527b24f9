/// \file
/// The adaptive limit of concurrent requests at one backend server, from this
/// node's own measurements.
///
/// The configured slots cap the limit. After a cold start it begins low and
/// grows while it is used; a shed cuts it at once; windows of mostly failed
/// or timed-out requests cut it further, so that fast failures draw no
/// traffic (additive or multiplicative increase, multiplicative decrease).
#pragma once

#include "framework/timetypes.h"

#include <cstdint>

namespace figplank::admission {

/// How the backend server ended one request.
enum class run_result : std::uint8_t {
  Completed,
  Failed,
  Shed,
  TimedOut,
  Cancelled
};

struct limit_settings {
  double Slots = 1.0;
  framework::milliseconds WindowLength{100};
  /// Part of the slots open at a cold start.
  double ColdFraction = 0.25;
  /// Growth of a used limit per window.
  double Growth = 1.25;
  double ShedFactor = 0.7;
  double FailureFactor = 0.5;
  double TimeoutFactor = 0.8;
  /// Part of a window's requests that must fail, or time out, for a cut.
  double FailureThreshold = 0.5;
  /// Part of the slots that must be running for a shed to mean a lack of room.
  /// 0 where others use the backend server as well.
  double MinRunningForShed = 0.0;
  /// Whether failures cut the limit.
  bool CutByFailures = true;
};

struct concurrency_limit {
  limit_settings Settings;
  double Limit = 1.0;
  std::uint32_t InFlight = 0;
  /// Slots that only ranks up to ReservedUpToRank may take, so that urgent work
  /// need not wait for a run of less urgent work to end (trunk reservation).
  double Reserved = 0.0;
  std::uint8_t ReservedUpToRank = 0;
  /// Since the window began.
  std::uint32_t PeakInFlight = 0;
  std::uint32_t Completed = 0;
  std::uint32_t Failed = 0;
  std::uint32_t TimedOut = 0;
  bool ShedInWindow = false;
  framework::monotonic_time WindowEnd;
  /// Part of the requests that failed in the last window with any.
  double FailureRate = 0.0;
};

concurrency_limit makeConcurrencyLimit(const limit_settings &Settings,
                                       framework::monotonic_time Now);

/// Changes the cap, as the configuration does.
void setSlots(concurrency_limit &Limit, double Slots);

/// Begins again from the cold fraction: the backend server was replaced.
void resetToColdStart(concurrency_limit &Limit);

/// Keeps slots free for \p Rank and more urgent ones.
void reserveSlots(concurrency_limit &Limit, std::uint8_t Rank);

/// Whether a request of \p Rank may start.
bool hasFreeSlot(const concurrency_limit &Limit, std::uint8_t Rank);

void acquireSlot(concurrency_limit &Limit);

void releaseSlot(concurrency_limit &Limit, run_result Result);

/// Ends the window if it is over. Returns whether it did.
bool advanceLimit(concurrency_limit &Limit, framework::monotonic_time Now);

} // namespace figplank::admission
