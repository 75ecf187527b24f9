/// \file
/// The node's metrics, exported in the Prometheus text format.
#pragma once

#include "configuration/configurationtypes.h"
#include "framework/memoryaccount.h"
#include "framework/outcome.h"
#include "http/server.h"
#include "node/platformreader.h"
#include "retry/budget.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace figplank::node {

/// One counter for each reason, in the order of the enumerators.
using refusal_counters =
    std::array<prometheus::Counter *, framework::RefusalTable.size()>;
using retry_counters =
    std::array<prometheus::Counter *, retry::RetryReasonNames.size()>;
using rank_histograms =
    std::array<prometheus::Histogram *, configuration::RankCount>;

/// Counters of the dissemination of the configuration.
struct dissemination_counters {
  prometheus::Counter *PlatformCalls = nullptr;
  /// In the order of the enumerators.
  std::array<prometheus::Counter *, ReadFailureNames.size()> PlatformFailures{};
  prometheus::Counter *EntriesAccepted = nullptr;
  prometheus::Counter *EntriesRefused = nullptr;
  prometheus::Counter *EntriesNotNewer = nullptr;
  prometheus::Counter *EntriesOutdated = nullptr;
  prometheus::Counter *EraChanges = nullptr;
  prometheus::Counter *PlatformReturns = nullptr;
  prometheus::Counter *RemovalsHeld = nullptr;
  prometheus::Gauge *HeldRemovals = nullptr;
  prometheus::Gauge *Era = nullptr;
  prometheus::Counter *Pushes = nullptr;
  prometheus::Counter *Exchanges = nullptr;
};

/// Durations of the stages of a request, in seconds.
struct timing_histograms {
  /// From sending a request to an upstream's node to its answer.
  prometheus::Histogram *Hop = nullptr;
  prometheus::Histogram *Queue = nullptr;
  prometheus::Histogram *Backend = nullptr;
};

/// Metrics of the answers that this node gave to callers of one route.
struct route_metrics {
  std::array<prometheus::Counter *, framework::OutcomeNames.size()> Answers{};
  prometheus::Histogram *Seconds = nullptr;
  prometheus::Gauge *Share = nullptr;
};

struct route_families {
  prometheus::Family<prometheus::Counter> *Answers = nullptr;
  prometheus::Family<prometheus::Histogram> *Seconds = nullptr;
  prometheus::Family<prometheus::Gauge> *Shares = nullptr;
  std::map<std::string, route_metrics, std::less<>> Routes;
};

/// The memory account, by class.
struct memory_metrics {
  std::array<prometheus::Gauge *, framework::MemoryClassNames.size()> Used{};
  std::array<prometheus::Gauge *, framework::MemoryClassNames.size()> Denials{};
  prometheus::Gauge *Free = nullptr;
};

struct node_metrics {
  std::shared_ptr<prometheus::Registry> Registry;
  /// Requests that this node refused on behalf of its backend server.
  refusal_counters LocalRefusals{};
  /// Answers to callers, and to calls that this node's backend server makes.
  refusal_counters AnsweredReasons{};
  std::array<prometheus::Counter *, framework::OutcomeNames.size()>
      AnsweredOutcomes{};
  retry_counters Retries{};
  prometheus::Counter *FirstTries = nullptr;
  prometheus::Counter *MalformedMessages = nullptr;
  prometheus::Counter *StaleAnswers = nullptr;
  prometheus::Counter *DeadConnections = nullptr;
  prometheus::Counter *BackendCrashes = nullptr;
  prometheus::Counter *Pauses = nullptr;
  rank_histograms Latency{};
  timing_histograms Timing;
  route_families ByRoute;
  dissemination_counters Dissemination;
  prometheus::Gauge *InFlight = nullptr;
  prometheus::Gauge *Limit = nullptr;
  prometheus::Gauge *ServerLimit = nullptr;
  prometheus::Gauge *Queued = nullptr;
  prometheus::Gauge *Revision = nullptr;
  prometheus::Gauge *RoutesVersion = nullptr;
  prometheus::Gauge *UpdateAge = nullptr;
  prometheus::Gauge *Suspects = nullptr;
  prometheus::Gauge *IdsRun = nullptr;
  prometheus::Gauge *IdsFenced = nullptr;
  memory_metrics Memory;
  /// Ends of callers' connections by reason; the second row is of those that
  /// owed responses.
  std::array<std::array<prometheus::Counter *, http::ConnectionEndNames.size()>,
             2>
      ConnectionEnds{};
  prometheus::Gauge *Connections = nullptr;
};

node_metrics makeMetrics();

inline void countRefusal(refusal_counters &Counters,
                         framework::refusal_reason Reason) {
  Counters[static_cast<std::size_t>(Reason)]->Increment();
}

inline void countRetry(node_metrics &Metrics, retry::retry_reason Reason) {
  Metrics.Retries[static_cast<std::size_t>(Reason)]->Increment();
}

/// The metrics of \p Route, created on first use. The number of route labels is
/// limited to a few hundred; further routes share the label "other".
route_metrics &metricsOfRoute(node_metrics &Metrics, std::string_view Route);

/// All metrics in the Prometheus text format.
std::string formatMetrics(const node_metrics &Metrics);

} // namespace figplank::node
