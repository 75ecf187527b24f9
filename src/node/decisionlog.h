/// \file
/// Log events for decisions about single requests, written by the entry and by
/// the node whose backend server ran the request or would have run it. The
/// first field of each event is the name of the request. The events are
/// rate-limited, see framework::logFrequentEvent.
#pragma once

#include "admission/concurrencylimit.h"
#include "node/worktypes.h"

#include <string>
#include <string_view>

namespace figplank::node {

/// A caller's request, as the entry logs it.
struct entry_record {
  std::string_view Name;
  std::string_view Route;
  framework::monotonic_time Started;
  framework::milliseconds LatencyObjective{0};
  std::uint64_t RoutesVersion = 0;
};

/// Logs \p Answer if it is a refusal or a failure, or misses the latency
/// objective.
void logAnswer(const entry_record &Entry, const work_answer &Answer,
               framework::monotonic_time Now);

/// Logs that the entry retries \p Request after \p Answer of \p Upstream.
void logRetry(const work_request &Request, std::string_view Upstream,
              std::string_view Cause, const work_answer &Answer,
              framework::monotonic_time Now);

/// Values on which a node based a refusal.
struct refusal_inputs {
  double Share = 1.0;
  double Limit = 1.0;
  std::uint32_t InFlight = 0;
  std::size_t Queued = 0;
  framework::microseconds ExpectedRun{0};
};

/// Logs that this node refused \p Request and did not send it to the backend
/// server.
void logRefusal(const work_request &Request, framework::refusal_reason Reason,
                const refusal_inputs &Inputs, framework::monotonic_time Now);

/// Logs that the entry refused \p Request because the services it would call
/// admit only \p Share of such requests.
void logEntryRefusal(const work_request &Request, double Share,
                     framework::monotonic_time Now);

/// Logs a failed run at the backend server, which \p Answer describes.
void logFailedRun(const work_request &Request, const work_answer &Answer,
                  framework::monotonic_time Started,
                  framework::monotonic_time Now);

/// Logs \p Event: the node of \p Upstream stopped answering or answers again.
void logUpstreamState(std::string_view Event, std::string_view Upstream,
                      framework::monotonic_time Now);

} // namespace figplank::node
