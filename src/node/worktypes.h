/// \file
/// A request and its answer, as the parts of a node and the nodes exchange
/// them.
#pragma once

#include "execution/requestid.h"
#include "framework/outcome.h"
#include "framework/timetypes.h"
#include "http/message.h"
#include "routing/upstreams.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace figplank::node {

/// The parts of a request of a route, other than path and body, that are
/// forwarded to the backend server unchanged.
struct forwarded_request {
  /// Name that the caller gave the request; the answer repeats it. Empty for
  /// a request of a template.
  std::string RequestName;
  std::string Method;
  http::header_list Headers;
  /// Service of the node whose gateway received the request.
  std::string CallerService;
  /// Name of the incarnation of the backend server that the request is for.
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
  /// Number of calls between the entry and this one.
  std::uint8_t Depth = 0;
  bool Idempotent = true;
  /// Extra attempts left for this call and all calls below it.
  std::uint8_t ExtraTries = 0;
  std::uint32_t CallerAttempt = 1;
  framework::monotonic_time Deadline;
  /// Random number in [0, 1), drawn once for the root request. Requests with
  /// lower numbers are admitted first.
  double Draw = 0.0;
  /// Number of offered requests that this admitted one represents.
  double SamplingWeight = 1.0;
  std::string ContentType;
  http::shared_body Body;
  /// What the request is charged beside its body; null for none.
  std::shared_ptr<const framework::memory_charge> Charge;
  /// Room that the entry keeps for the answer, given up when it comes; null
  /// for none.
  std::shared_ptr<framework::memory_charge> AnswerRoom;
  /// Set only for requests of routes.
  std::optional<forwarded_request> Forwarded;
  /// Latency, measured from the arrival, that the answer should stay within;
  /// 0 for no objective.
  framework::milliseconds LatencyObjective{0};
};

struct work_answer {
  framework::outcome Outcome = framework::outcome::Unknown;
  framework::refusal_reason Reason = framework::refusal_reason::None;
  /// The backend server's status, if it answered.
  std::uint16_t Status = 0;
  std::string ContentType;
  /// Headers of the backend server's answer to a request of a route.
  http::header_list Headers;
  http::shared_body Body;
  /// Time that the caller should wait before it retries.
  framework::milliseconds RetryAfter{0};
  std::uint8_t UnusedTries = 0;
  /// Whether the node that sent the request may retry it.
  bool MayRetry = false;
  /// Share of such requests that this service and the services below it
  /// admit.
  double ChainShare = 1.0;
  routing::reported_load Load;
  /// Last upstream that the entry sent the request to, and how often it was
  /// sent.
  std::string Upstream;
  std::uint8_t SendAttempts = 0;
};

/// Whether the request has a home: the only node that may run its id or report
/// that it did not run. Requests of routes have none, since each attempt counts
/// as a new request.
inline bool hasHome(const work_request &Request) {
  return !Request.Idempotent && !Request.Forwarded;
}

/// The outcome to report for a refused request that was not started. Only the
/// home of a non-idempotent id may report that it did not run, because a copy
/// of the request may run elsewhere. Requests of routes have no copies.
inline framework::outcome refusalOutcome(const work_request &Request) {
  return hasHome(Request) ? framework::outcome::Unknown
                          : framework::outcome::NotRun;
}

/// An answer without a result of a backend server.
inline work_answer makeRefusal(framework::outcome Outcome,
                               framework::refusal_reason Reason) {
  work_answer Answer;
  Answer.Outcome = Outcome;
  Answer.Reason = Reason;
  return Answer;
}

} // namespace figplank::node
