/// \file
/// The caller's library: sends requests through figplank nodes and sends them
/// again by the rules of docs/CALLERS.md.
#pragma once

#include "framework/outcome.h"
#include "framework/timetypes.h"

#include <optional>
#include <string>
#include <vector>

namespace figplank::client {

/// One request and how long the caller cares.
struct call_request {
  std::string Template;
  std::string Organisation;
  std::string Body;
  std::string ContentType = "application/octet-stream";
  /// A UUIDv7; one is made if it is empty.
  std::string Key;
  framework::milliseconds Deadline{5'000};
  /// Tries of the caller, the first included.
  unsigned MaxAttempts = 3;
};

/// One answer as it came.
struct call_answer {
  framework::outcome Outcome = framework::outcome::Unknown;
  /// Name of the reason as in docs/CALLERS.md; empty when completed.
  std::string Reason;
  unsigned Status = 0;
  std::string Body;
  framework::milliseconds RetryAfter{0};
  /// Key of the last try.
  std::string Key;
  unsigned Attempts = 0;
};

/// What to do after an answer.
enum class next_step {
  Stop,
  /// The outcome is unknown: ask for the same id again.
  SendSameKey,
  /// It certainly did not run: a new id is safe.
  SendNewKey,
};

/// Decides after the answer to try \p Attempt, counted from 1, with
/// \p Remaining time before the caller's deadline.
next_step decideNextStep(const call_answer &Answer, unsigned Attempt,
                         unsigned MaxAttempts,
                         framework::milliseconds Remaining);

/// Sends \p Request through \p Entries, HTTP addresses of nodes, in turn.
/// Blocks until the outcome is final or the deadline has passed.
call_answer callThrough(const std::vector<std::string> &Entries,
                        const call_request &Request);

} // namespace figplank::client
