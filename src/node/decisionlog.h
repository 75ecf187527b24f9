/// \file
/// Log lines for the decisions that touch one request: at its entry, and at the
/// node beside the backend server that refused or ran it. Each names the
/// request first; all are bounded in number, see framework::logFrequentEvent.
#pragma once

#include "admission/concurrencylimit.h"
#include "node/worktypes.h"

#include <string>
#include <string_view>

namespace figplank::node {

/// A caller's request at its entry.
struct entry_record {
  std::string_view Name;
  std::string_view Route;
  framework::monotonic_time Started;
  framework::milliseconds LatencyObjective{0};
  std::uint64_t RoutesVersion = 0;
};

/// Logs an answer that is a refusal or a failure, or later than the objective.
void logAnswer(const entry_record &Entry, const work_answer &Answer,
               framework::monotonic_time Now);

/// Logs that the entry sends \p Request again after \p Answer of \p Upstream.
void logRetry(const work_request &Request, std::string_view Upstream,
              std::string_view Cause, const work_answer &Answer,
              framework::monotonic_time Now);

/// What a node decided a refusal by.
struct refusal_inputs {
  double Share = 1.0;
  double Limit = 1.0;
  std::uint32_t InFlight = 0;
  std::size_t Queued = 0;
  framework::microseconds ExpectedRun{0};
};

/// Logs that \p Request was refused before it reached the backend server.
void logRefusal(const work_request &Request, framework::refusal_reason Reason,
                const refusal_inputs &Inputs, framework::monotonic_time Now);

/// Logs that the entry refused \p Request because the chain admits only \p
/// Share.
void logEntryRefusal(const work_request &Request, double Share,
                     framework::monotonic_time Now);

/// Logs a run at the backend server that \p Answer tells has failed.
void logFailedRun(const work_request &Request, const work_answer &Answer,
                  framework::monotonic_time Started,
                  framework::monotonic_time Now);

/// Logs that an upstream's node stopped answering, or answers again.
void logUpstreamState(std::string_view Event, std::string_view Upstream,
                      framework::monotonic_time Now);

} // namespace figplank::node
