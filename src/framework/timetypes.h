/// \file
/// Time types. Every function that decides takes the present time as an
/// argument, so that tests drive it by hand.
#pragma once

#include <chrono>
#include <cstdint>

namespace figplank::framework {

using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

/// Time since an arbitrary start; never set back.
using monotonic_time =
    std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/// Time since the Unix epoch, as identifiers carry it.
using wall_time =
    std::chrono::time_point<std::chrono::system_clock, milliseconds>;

/// Both clocks, read together by a daemon once per event.
struct time_now {
  monotonic_time Monotonic;
  wall_time Wall;
};

/// Reads both clocks. Only daemons and stand-ins call this.
inline time_now readClocks() {
  return {std::chrono::time_point_cast<microseconds>(
              std::chrono::steady_clock::now()),
          std::chrono::time_point_cast<milliseconds>(
              std::chrono::system_clock::now())};
}

inline double inSeconds(microseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Whole milliseconds, rounded towards zero.
inline std::int64_t inMilliseconds(microseconds Time) {
  return std::chrono::duration_cast<milliseconds>(Time).count();
}

/// Milliseconds from \p From to \p To, never negative.
inline std::uint32_t remainingMilliseconds(monotonic_time From,
                                           monotonic_time To) {
  if (To <= From) {
    return 0;
  }
  return static_cast<std::uint32_t>(inMilliseconds(To - From));
}

} // namespace figplank::framework
