#include "framework/logging.h"

#include <easylogging++.h>

#include <algorithm>
#include <atomic>
#include <climits>
#include <cstdio>
#include <map>

#include <poll.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace figplank::framework {
namespace {

bool needsQuotes(std::string_view Text) {
  if (Text.empty()) {
    return true;
  }
  for (char C : Text) {
    if (C <= ' ' || C == '"' || C == '=' || C == '\\') {
      return true;
    }
  }
  return false;
}

std::string quoteValue(std::string_view Text) {
  if (!needsQuotes(Text)) {
    return std::string(Text);
  }
  std::string Quoted = "\"";
  for (char C : Text) {
    if (C == '\n') {
      Quoted += "\\n";
    } else if (C == '"' || C == '\\') {
      Quoted += '\\';
      Quoted += C;
    } else if (static_cast<unsigned char>(C) < ' ') {
      Quoted += '?';
    } else {
      Quoted += C;
    }
  }
  return Quoted + "\"";
}

std::string formatNumber(double Value) {
  char Buffer[32];
  std::snprintf(Buffer, sizeof Buffer, "%.6g", Value);
  return Buffer;
}

/// The lowest level that is logged. Set by startLogging before threads start.
log_level &minLevel() {
  static log_level Level = log_level::Info;
  return Level;
}

} // namespace

log_field::log_field(std::string_view Key, std::string_view Value)
    : Key(Key), Text(quoteValue(Value)) {}
log_field::log_field(std::string_view Key, const char *Value)
    : log_field(Key, std::string_view(Value)) {}
log_field::log_field(std::string_view Key, const std::string &Value)
    : log_field(Key, std::string_view(Value)) {}
log_field::log_field(std::string_view Key, std::int64_t Value)
    : Key(Key), Text(std::to_string(Value)) {}
log_field::log_field(std::string_view Key, std::uint64_t Value)
    : Key(Key), Text(std::to_string(Value)) {}
log_field::log_field(std::string_view Key, int Value)
    : Key(Key), Text(std::to_string(Value)) {}
log_field::log_field(std::string_view Key, unsigned Value)
    : Key(Key), Text(std::to_string(Value)) {}
log_field::log_field(std::string_view Key, double Value)
    : Key(Key), Text(formatNumber(Value)) {}

std::string formatEvent(std::string_view Event,
                        std::initializer_list<log_field> Fields) {
  std::string Line = "event=" + std::string(Event);
  for (const log_field &Field : Fields) {
    Line += ' ';
    Line += Field.Key;
    Line += '=';
    Line += Field.Text;
  }
  return Line;
}

void startLogging(std::string_view Name, log_level MinLevel) {
  minLevel() = MinLevel;
  el::Configurations Settings;
  Settings.setToDefault();
  Settings.setGlobally(el::ConfigurationType::ToFile, "false");
  Settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  Settings.setGlobally(
      el::ConfigurationType::Format,
      "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level node=" +
          quoteValue(Name) + " %msg");
  el::Loggers::reconfigureAllLoggers(Settings);
}

namespace {

/// The rate limiter of one event name, a token bucket.
struct event_bucket {
  log_rate_limit Limit;
  double Tokens = Limit.Burst;
  monotonic_time LastRefill;
  std::uint64_t Suppressed = 0;
};

/// Takes a token for one line. Counts the line as suppressed if there is none.
bool takeToken(event_bucket &Bucket, monotonic_time Now) {
  double Seconds = inSeconds(Now - Bucket.LastRefill);
  Bucket.LastRefill = Now;
  Bucket.Tokens = std::min(Bucket.Limit.Burst,
                           Bucket.Tokens + Seconds * Bucket.Limit.PerSecond);
  if (Bucket.Tokens < 1.0) {
    ++Bucket.Suppressed;
    return false;
  }
  Bucket.Tokens -= 1.0;
  return true;
}

void writeLine(log_level Level, const std::string &Line);

} // namespace

void logFrequentEvent(log_level Level, std::string_view Event,
                      std::initializer_list<log_field> Fields,
                      monotonic_time Now) {
  // Not synchronised: only the thread of the event loop calls this function.
  static std::map<std::string, event_bucket, std::less<>> Buckets;
  if (Level < minLevel()) {
    return;
  }
  auto Found = Buckets.find(Event);
  if (Found == Buckets.end()) {
    Found = Buckets.try_emplace(std::string(Event)).first;
    Found->second.LastRefill = Now;
  }
  event_bucket &Bucket = Found->second;
  if (!takeToken(Bucket, Now)) {
    return;
  }
  std::string Line = formatEvent(Event, Fields);
  if (Bucket.Suppressed > 0) {
    Line += " suppressed_lines=" + std::to_string(Bucket.Suppressed);
    Bucket.Suppressed = 0;
  }
  writeLine(Level, Line);
}

void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields) {
  if (Level >= minLevel()) {
    writeLine(Level, formatEvent(Event, Fields));
  }
}

namespace {

/// Returns whether a line can be written to standard output without blocking.
/// A pipe that poll() reports as writable accepts at least PIPE_BUF bytes.
bool canWrite() {
  pollfd Stdout{STDOUT_FILENO, POLLOUT, 0};
  return poll(&Stdout, 1, 0) == 1 && (Stdout.revents & POLLOUT) != 0;
}

void writeLine(log_level Level, const std::string &Text) {
  // 512 bytes are left for the prefix of the line.
  constexpr std::size_t MaxTextBytes = PIPE_BUF - 512;
  static std::atomic<std::uint64_t> DroppedLines = 0;
  if (!canWrite()) {
    ++DroppedLines;
    return;
  }
  std::string Line = Text.substr(0, MaxTextBytes);
  std::uint64_t DroppedSoFar = DroppedLines.exchange(0);
  if (DroppedSoFar > 0) {
    Line += " dropped_lines=" + std::to_string(DroppedSoFar);
  }
  switch (Level) {
  case log_level::Debug:
    LOG(DEBUG) << Line;
    break;
  case log_level::Info:
    LOG(INFO) << Line;
    break;
  case log_level::Warning:
    LOG(WARNING) << Line;
    break;
  case log_level::Error:
    LOG(ERROR) << Line;
    break;
  }
}

} // namespace

} // namespace figplank::framework
