/// \file
/// One request between the parts of a node and between nodes.
#pragma once

#include "execution/requestid.h"
#include "framework/outcome.h"
#include "framework/timetypes.h"
#include "http/message.h"
#include "routing/upstreams.h"

#include <cstdint>
#include <optional>
#include <string>

namespace figplank::node {

/// What a request of a route carries to the backend server unchanged, beside
/// its path and body.
struct forwarded_request {
  /// The caller's own name of the request, which the answer repeats. Empty for
  /// a work request of a template.
  std::string RequestName;
  std::string Method;
  http::header_list Headers;
  /// Service of the backend server beside which the request began.
  std::string CallerService;
  /// Name of the backend server's incarnation that is meant.
  std::string ExpectedInstance;
};

struct work_request {
  std::optional<execution::request_id> Id;
  std::string RootId;
  std::string Template;
  std::string Service;
  std::string Path;
  std::string Organisation;
  std::uint8_t Rank = 0;
  /// Calls between the entry and this one.
  std::uint8_t Depth = 0;
  bool Idempotent = true;
  /// Extra tries left for this call and all below it.
  std::uint8_t ExtraTries = 0;
  std::uint32_t CallerAttempt = 1;
  framework::monotonic_time Deadline;
  /// The root request's random draw in [0, 1); lower is admitted first.
  double Draw = 0.0;
  /// Offered requests that this one stands for.
  double SamplingWeight = 1.0;
  std::string ContentType;
  std::string Body;
  /// Set for requests of routes.
  std::optional<forwarded_request> Forwarded;
  /// Time from its arrival within which the answer is worth most; 0 for none.
  framework::milliseconds LatencyObjective{0};
};

struct work_answer {
  framework::outcome Outcome = framework::outcome::Unknown;
  framework::refusal_reason Reason = framework::refusal_reason::None;
  /// The backend server's status, if it answered.
  std::uint16_t Status = 0;
  std::string ContentType;
  /// Of the backend server's answer to a request of a route.
  http::header_list Headers;
  std::string Body;
  /// Time before which the caller should not try again.
  framework::milliseconds RetryAfter{0};
  std::uint8_t UnusedTries = 0;
  /// Whether the hop just above may try elsewhere.
  bool MayRetry = false;
  /// Share of such work that the chain below admits.
  double ChainShare = 1.0;
  routing::reported_load Load;
  /// Where the entry sent it last, and how often it sent it.
  std::string Upstream;
  std::uint8_t SendAttempts = 0;
};

/// Whether one node alone, the home of its id, may run the request or say that
/// it did not run. Requests of routes are new with each attempt and have none.
inline bool hasHome(const work_request &Request) {
  return !Request.Idempotent && !Request.Forwarded;
}

/// What a refusal of a request that was not started may claim. Only the home of
/// a non-idempotent id may say that it did not run, since a copy may; requests
/// of routes have no copies.
inline framework::outcome refusalOutcome(const work_request &Request) {
  return hasHome(Request) ? framework::outcome::Unknown
                          : framework::outcome::NotRun;
}

/// An answer that claims no result of a backend server.
inline work_answer makeRefusal(framework::outcome Outcome,
                               framework::refusal_reason Reason) {
  work_answer Answer;
  Answer.Outcome = Outcome;
  Answer.Reason = Reason;
  return Answer;
}

} // namespace figplank::node
