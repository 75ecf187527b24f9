/// \file
/// The adaptive limit on concurrent requests at one backend server, computed
/// from measurements of this node alone.
///
/// The configured number of slots is the upper bound. After a cold start the
/// limit begins low. It grows while most of it is in use (multiplicative
/// increase), at first also before any request has ended: a limit that only
/// long requests use says nothing against the server. A request shed by the
/// backend server decreases it at once; a window in which many requests failed
/// or timed out decreases it when the window ends (multiplicative decrease), so
/// that a server that fails fast does not attract traffic.
#pragma once

#include "framework/timetypes.h"

#include <cstdint>

namespace figplank::admission {

/// How one request at the backend server ended.
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
  /// Fraction of the slots allowed at a cold start.
  double ColdStartFraction = 0.25;
  /// Factor on the limit after a window in which most of it was in use.
  double GrowthFactor = 1.25;
  /// Factor on the concurrency reached when the backend server sheds.
  double ShedFactor = 0.7;
  /// Factors on the limit after a window in which too many requests failed or
  /// timed out.
  double FailureFactor = 0.5;
  double TimeoutFactor = 0.8;
  /// Fraction of a window's requests that must fail, or time out, for the limit
  /// to be decreased.
  double FailureThreshold = 0.5;
  /// Fraction of the slots that must be in use for a shed request to count as a
  /// sign of overload; below it the request counts as failed. 0 where the
  /// backend server also has clients beside this node.
  double ShedMinUtilisation = 0.0;
  bool DecreaseOnFailures = true;
};

struct concurrency_limit {
  limit_settings Settings;
  double Limit = 1.0;
  std::uint32_t InFlight = 0;
  /// Slots open only to ranks 0 to ReservedUpToRank, so that an urgent request
  /// need not wait until a less urgent one ends (trunk reservation).
  double ReservedSlots = 0.0;
  std::uint8_t ReservedUpToRank = 0;
  /// The maximum of InFlight since the window began.
  std::uint32_t PeakInFlight = 0;
  /// Requests that ended since the window began.
  std::uint32_t Completed = 0;
  std::uint32_t Failed = 0;
  std::uint32_t TimedOut = 0;
  /// Whether the limit was already decreased for a shed request in this window.
  bool ShedInWindow = false;
  framework::monotonic_time WindowEnd;
  /// Whether the limit rises from a cold start and nothing has lowered it yet.
  bool IsRamping = true;
  /// Fraction of the requests that failed in the last window in which any
  /// request completed, failed or timed out.
  double FailureRate = 0.0;
};

concurrency_limit makeConcurrencyLimit(const limit_settings &Settings,
                                       framework::monotonic_time Now);

/// Sets the upper bound of the limit after a configuration change, and clamps
/// the limit between the cold start limit and this bound.
void setSlots(concurrency_limit &Limit, double Slots);

/// Lowers the limit to that of a cold start, because the backend server crashed
/// or is unreachable and its replacement starts cold.
void resetToColdStart(concurrency_limit &Limit);

/// Whether the limit is about to rise: it comes from a cold start, and the
/// server has slots that it doesn't use yet.
bool isRamping(const concurrency_limit &Limit);

/// Reserves some slots for \p Rank and more urgent ranks.
void reserveSlots(concurrency_limit &Limit, std::uint8_t Rank);

/// Whether a slot is free for a request of \p Rank.
bool hasFreeSlot(const concurrency_limit &Limit, std::uint8_t Rank);

void acquireSlot(concurrency_limit &Limit);

void releaseSlot(concurrency_limit &Limit, run_result Result);

/// Updates the limit and begins a new window if the current one is over at
/// \p Now. Returns whether it was over.
bool advanceLimit(concurrency_limit &Limit, framework::monotonic_time Now);

} // namespace figplank::admission
