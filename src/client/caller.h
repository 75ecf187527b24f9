/// \file
/// Client library for callers: sends requests to figplank nodes and retries
/// them by the rules of docs/CALLERS.md.
#pragma once

#include "framework/outcome.h"
#include "framework/timetypes.h"

#include <optional>
#include <string>
#include <vector>

namespace figplank::client {

/// One request, its deadline and the limit of its attempts.
struct call_request {
  std::string Template;
  std::string Organisation;
  std::string Body;
  std::string ContentType = "application/octet-stream";
  /// Idempotency key, a UUIDv7; generated if empty.
  std::string Key;
  /// Time for all attempts together.
  framework::milliseconds Deadline{5'000};
  /// Maximum attempts by the caller, the first included.
  unsigned MaxAttempts = 3;
};

/// The answer to one attempt; callWithRetries returns that of the last one.
struct call_answer {
  framework::outcome Outcome = framework::outcome::Unknown;
  /// Name of the reason as in docs/CALLERS.md; empty if the request completed.
  /// `entry_unreachable` without an answer, `broken_answer` for one that is
  /// cut short or that HTTP does not have.
  std::string Reason;
  unsigned Status = 0;
  std::string Body;
  framework::milliseconds RetryAfter{0};
  /// Idempotency key of the last attempt.
  std::string Key;
  /// Attempts made.
  unsigned Attempts = 0;
};

/// What the caller does after an answer.
enum class next_step {
  Stop,
  /// The outcome is unknown: retry with the same key, so that a non-idempotent
  /// request runs at most once.
  SendSameKey,
  /// The request did not run: a retry with a new key cannot run it twice.
  SendNewKey,
};

/// Decides what follows the answer to attempt number \p Attempt, counted from
/// 1, with \p Remaining time before the caller's deadline.
next_step decideNextStep(const call_answer &Answer, unsigned Attempt,
                         unsigned MaxAttempts,
                         framework::milliseconds Remaining);

/// Sends \p Request to the nodes at the HTTP addresses \p NodeAddresses, each
/// attempt to the next one. Blocks until no further attempt is allowed or the
/// deadline has passed.
call_answer callWithRetries(const std::vector<std::string> &NodeAddresses,
                            const call_request &Request);

} // namespace figplank::client
