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

/// Set once by startLogging, before other threads exist.
log_level &leastLevel() {
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

void startLogging(std::string_view Name, log_level Least) {
  leastLevel() = Least;
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

/// The allowance that one event has used.
struct event_allowance {
  log_rate_limit Allowance;
  double Lines = Allowance.Burst;
  monotonic_time Filled;
  std::uint64_t LeftOut = 0;
};

/// Whether a line may be written now.
bool takeLine(event_allowance &Event, monotonic_time Now) {
  double Seconds = inSeconds(Now - Event.Filled);
  Event.Filled = Now;
  Event.Lines = std::min(Event.Allowance.Burst,
                         Event.Lines + Seconds * Event.Allowance.PerSecond);
  if (Event.Lines < 1.0) {
    ++Event.LeftOut;
    return false;
  }
  Event.Lines -= 1.0;
  return true;
}

void writeLine(log_level Level, const std::string &Line);

} // namespace

void logFrequentEvent(log_level Level, std::string_view Event,
                      std::initializer_list<log_field> Fields,
                      monotonic_time Now) {
  // Only the event loop's thread writes these.
  static std::map<std::string, event_allowance, std::less<>> Events;
  if (Level < leastLevel()) {
    return;
  }
  auto Found = Events.find(Event);
  if (Found == Events.end()) {
    Found = Events.try_emplace(std::string(Event)).first;
    Found->second.Filled = Now;
  }
  event_allowance &Used = Found->second;
  if (!takeLine(Used, Now)) {
    return;
  }
  std::string Line = formatEvent(Event, Fields);
  if (Used.LeftOut > 0) {
    Line += " left_out=" + std::to_string(Used.LeftOut);
    Used.LeftOut = 0;
  }
  writeLine(Level, Line);
}

void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields) {
  if (Level >= leastLevel()) {
    writeLine(Level, formatEvent(Event, Fields));
  }
}

namespace {

/// Whether standard output takes a line now. A pipe that is ready takes at
/// least PIPE_BUF bytes at once.
bool canWrite() {
  pollfd Output{STDOUT_FILENO, POLLOUT, 0};
  return poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT) != 0;
}

void writeLine(log_level Level, const std::string &Text) {
  // Leaves room for the line's prefix.
  constexpr std::size_t MostBytes = PIPE_BUF - 512;
  static std::atomic<std::uint64_t> Dropped = 0;
  if (!canWrite()) {
    ++Dropped;
    return;
  }
  std::string Line = Text.substr(0, MostBytes);
  std::uint64_t Missing = Dropped.exchange(0);
  if (Missing > 0) {
    Line += " dropped_lines=" + std::to_string(Missing);
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
