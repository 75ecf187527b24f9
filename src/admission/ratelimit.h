/// \file
/// The limit on requests per second that a backend server names in its answers,
/// kept by a token bucket at the node beside it, through which all its requests
/// pass.
#pragma once

#include "framework/timetypes.h"

#include <optional>

namespace figplank::admission {

struct rate_limit_settings {
  /// Time over which unused tokens are kept.
  framework::milliseconds BurstTime{250};
  /// Time after which a limit that answers do not name any more ends.
  framework::milliseconds Lifetime{1'000};
  /// Requests per second that are sent at a lower limit as well, because only
  /// an answer shows that the limit has ended.
  double MinPerSecond = 0.5;
  /// Weight of a run in the moving average of run times.
  double RunTimeSmoothing = 0.05;
};

struct rate_limit {
  rate_limit_settings Settings;
  /// Nothing without a limit.
  std::optional<double> PerSecond;
  double Tokens = 0.0;
  framework::monotonic_time Refilled;
  framework::monotonic_time LastNamed;
  /// Moving average of the time that a request takes at the backend server, by
  /// which the limit is expressed as a number of concurrent requests.
  double RunSeconds = 0.0;
};

/// Records an answer of the backend server, which names \p PerSecond or no
/// limit. Negative numbers count as 0.
void recordNamedLimit(rate_limit &Limit, std::optional<double> PerSecond,
                      framework::monotonic_time Now);

/// Ends the limit, as another backend server has started.
void clearLimit(rate_limit &Limit);

/// Records how long a request took at the backend server.
void recordRunTime(rate_limit &Limit, framework::microseconds RunTime);

/// Whether a request may be sent at \p Now.
bool hasToken(const rate_limit &Limit, framework::monotonic_time Now);

/// Counts a request as sent.
void takeToken(rate_limit &Limit, framework::monotonic_time Now);

/// Time until a request may be sent if \p Ahead others are sent first.
framework::microseconds waitForToken(const rate_limit &Limit, std::size_t Ahead,
                                     framework::monotonic_time Now);

/// Concurrent requests by which the limit is used, at most \p Slots; \p Slots
/// without a limit.
double concurrencyUnder(const rate_limit &Limit, double Slots);

} // namespace figplank::admission
