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

/// A key and its value as text. Numbers are formatted, and texts are quoted
/// where needed.
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

/// Formats `event=NAME key=value ...`. Quotes values that are empty or contain
/// spaces, quotes, backslashes, equals signs or control characters.
std::string formatEvent(std::string_view Event,
                        std::initializer_list<log_field> Fields);

/// Sets up the logger of the process. Lines below \p MinLevel are omitted, and
/// each line contains \p Name as `node`.
void startLogging(std::string_view Name, log_level MinLevel);

/// Writes one event to standard output. While standard output is a pipe whose
/// reader does not read, lines are dropped and counted, so that logging never
/// blocks. The next line that is written has their number as `dropped_lines`.
void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields);

/// Rate limit for the lines of one event name: a token bucket with one token
/// per line.
struct log_rate_limit {
  double PerSecond = 20.0;
  double Burst = 40.0;
};

/// Writes one event that may occur with each request. Lines that exceed the
/// rate limit of the event name are suppressed and counted. The next line that
/// is written has their number as `suppressed_lines`.
void logFrequentEvent(log_level Level, std::string_view Event,
                      std::initializer_list<log_field> Fields,
                      monotonic_time Now);

} // namespace figplank::framework
