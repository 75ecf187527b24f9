/// \file
/// Structured logs: one line of key=value pairs per event.
#pragma once

#include "framework/timetypes.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace figplank::framework {

enum class log_level { Debug, Info, Warning, Error };

/// One key and value; numbers are formatted, texts quoted where needed.
struct log_field {
  log_field(std::string_view Key, std::string_view Value);
  log_field(std::string_view Key, const char *Value);
  log_field(std::string_view Key, const std::string &Value);
  log_field(std::string_view Key, std::int64_t Value);
  log_field(std::string_view Key, std::uint64_t Value);
  log_field(std::string_view Key, int Value);
  log_field(std::string_view Key, unsigned Value);
  log_field(std::string_view Key, double Value);

  std::string_view Key;
  std::string Text;
};

/// Formats `event=NAME key=value ...`, quoting values that hold spaces,
/// quotes, equals signs or control characters.
std::string formatEvent(std::string_view Event,
                        std::initializer_list<log_field> Fields);

/// Sets up the process's logger: \p Name is added to each line.
void startLogging(std::string_view Name, log_level Least);

/// Writes one event to standard output. Where its reader has stopped reading,
/// lines are dropped and counted; the next one has their number as
/// `dropped_lines`.
void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields);

/// Lines per second that one event may have, and those it may have at once.
struct log_rate_limit {
  double PerSecond = 20.0;
  double Burst = 40.0;
};

/// Writes one event that may come with each request. Beyond the allowance of
/// its name lines are left out and counted; the next line that is written has
/// their number as `left_out`.
void logFrequentEvent(log_level Level, std::string_view Event,
                      std::initializer_list<log_field> Fields,
                      monotonic_time Now);

} // namespace figplank::framework
