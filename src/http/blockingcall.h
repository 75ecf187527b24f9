/// \file
/// A request and its answer on a connection of its own, for programs without an
/// event loop. Reads answers by the same parser as the nodes do.
#pragma once

#include "framework/timetypes.h"
#include "http/message.h"

#include <optional>
#include <string>

namespace figplank::http {

enum class call_failure : std::uint8_t {
  /// No connection could be opened, so nothing was sent.
  NoConnection,
  /// No complete answer came in time.
  NoAnswer,
  /// The connection ended before the answer was complete, or what came is not a
  /// valid answer.
  BrokenAnswer,
};

struct call_result {
  /// The complete answer; empty if there is none.
  std::optional<response> Answer;
  /// Only meaningful without an answer.
  call_failure Failure = call_failure::NoConnection;
};

/// Sends \p Request to \p Address, a `HOST:PORT`, and waits for the answer
/// until \p End. Resolving a name may take longer.
call_result callServer(const std::string &Address, const request &Request,
                       framework::monotonic_time End);

} // namespace figplank::http
