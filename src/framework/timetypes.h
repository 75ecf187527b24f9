/// \file
/// Time types. Functions that make decisions take the current time as an
/// argument, so that tests control it.
#pragma once

#include <chrono>
#include <cstdint>

namespace figplank::framework {

using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

/// Time since an arbitrary epoch; never goes backwards.
using monotonic_time =
    std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/// Time since the Unix epoch, as contained in request identifiers.
using wall_time =
    std::chrono::time_point<std::chrono::system_clock, milliseconds>;

/// The values of both clocks; a daemon reads them together, once per event.
struct time_now {
  monotonic_time Monotonic;
  wall_time Wall;
};

/// Reads both clocks. Only daemons, clients and stand-ins call this.
inline time_now readClocks() {
  return {std::chrono::time_point_cast<microseconds>(
              std::chrono::steady_clock::now()),
          std::chrono::time_point_cast<milliseconds>(
              std::chrono::system_clock::now())};
}

inline double inSeconds(microseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Converts to whole milliseconds, rounded towards zero.
inline std::int64_t inMilliseconds(microseconds Time) {
  return std::chrono::duration_cast<milliseconds>(Time).count();
}

/// Returns the milliseconds from \p From to \p To, or 0 if \p To is earlier.
inline std::uint32_t remainingMilliseconds(monotonic_time From,
                                           monotonic_time To) {
  if (To <= From) {
    return 0;
  }
  return static_cast<std::uint32_t>(inMilliseconds(To - From));
}

} // namespace figplank::framework
