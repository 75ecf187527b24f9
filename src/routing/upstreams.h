/// \file
/// Load balancing among the upstreams of a service, from what this node has
/// observed of them.
///
/// Two candidates are drawn at random, and the one with the lower expected
/// latency is chosen (Mitzenmacher, "The power of two choices", 2001).
/// Candidates in the node's own availability zone are preferred unless one in
/// another zone is clearly faster.
#pragma once

#include "configuration/store.h"
#include "framework/timetypes.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figplank::routing {

/// One start of a backend server, by which it is told from those before and
/// after it at the same address.
struct incarnation {
  std::string Name;
  /// In milliseconds since the Unix epoch; 0 if not published.
  std::uint64_t StartedMs = 0;

  bool operator==(const incarnation &) const = default;
};

/// The load that an upstream's node reports with each answer.
struct reported_load {
  /// Limit of concurrent requests.
  double Limit = 1.0;
  std::uint32_t InFlight = 0;
  std::uint32_t Queued = 0;
  /// Fraction of the recent requests that its backend server failed.
  double FailureRate = 0.0;
  bool Draining = false;
  /// The incarnation of the backend server that has said in an answer that it
  /// leaves; no name for none.
  incarnation Leaving;
};

/// What this node has observed of one upstream.
struct upstream_view {
  reported_load Load;
  framework::monotonic_time ReportedAt;
  /// This node's outstanding requests to the upstream, now and at ReportedAt.
  std::uint32_t Outstanding = 0;
  std::uint32_t OutstandingAtReport = 0;
  /// The upstream is avoided until this time, because it refused a connection
  /// or did not answer.
  framework::monotonic_time AvoidUntil;
  std::uint32_t ConsecutiveFailures = 0;
  /// No requests are sent before this time, because the upstream announced a
  /// drain.
  framework::monotonic_time DrainingUntil;
  /// The incarnation that has said that it leaves. It receives no further
  /// requests; a later one does.
  incarnation Leaving;
  /// Moving average of the ratio of this upstream's latency to the baseline of
  /// the same kind of request, both as measured by this node.
  double LatencyRatio = 1.0;
  /// Whether it has answered. The first answer takes the time of opening
  /// connections as well, and is not measured.
  bool HasAnswered = false;
  /// When LatencyRatio was last updated.
  framework::monotonic_time LatencyMeasuredAt;
};

struct routing_settings {
  /// Time for which an upstream is avoided after a failure. Doubles with each
  /// consecutive failure, up to MaxAvoidTime.
  framework::milliseconds MinAvoidTime{100};
  framework::milliseconds MaxAvoidTime{3'000};
  /// Time after which an upstream that announced a drain is tried again,
  /// because it may have been restarted at the same address. An upstream that
  /// is still draining announces it again, and one that has exited refuses the
  /// connection.
  framework::milliseconds DrainRetryInterval{3'000};
  /// Age from which a load report is ignored.
  framework::milliseconds ReportLifetime{1'000};
  /// Load above which queueing delay is expected at an upstream, so that
  /// upstreams in other zones are considered. Below 1 because queues form
  /// before all slots are taken.
  double SpilloverLoad = 0.75;
  /// An upstream in another zone is chosen only if its expected latency is
  /// below this fraction of that of the local choice, because traffic between
  /// zones is expensive.
  double SpilloverCostFactor = 0.8;
  /// Weights of a new sample in the moving averages LatencyRatio and of a
  /// baseline. The first samples of a baseline count equally.
  double LatencyRatioSmoothing = 0.1;
  double BaselineSmoothing = 0.02;
  /// Costs that differ by less than this fraction are taken to be equal, and
  /// the load decides.
  double EqualCostFraction = 0.1;
  /// Time without a new measurement after which a LatencyRatio begins to fade,
  /// and in which it then halves its distance from 1. Otherwise an upstream
  /// that was slow once would never be measured again while others have room.
  framework::milliseconds LatencyFadeTime{1'000};
  /// Fraction of the candidates that must not be avoided. With fewer, this
  /// node's observations are taken to be wrong and no candidate is avoided.
  double MinHealthyFraction = 0.5;
};

/// Usual latency of a kind of request.
struct latency_baseline {
  /// Moving average in milliseconds.
  double Ms = 0.0;
  unsigned Samples = 0;
};

/// The upstreams that this node calls.
struct upstream_table {
  routing_settings Settings;
  /// Over all upstreams, by kind of request.
  configuration::text_map<latency_baseline> Baselines;
  /// By the upstream's address.
  configuration::text_map<upstream_view> Views;
};

/// An upstream that chooseUpstream may return.
struct candidate {
  std::string Name;
  std::string Zone;
  std::string Address;
  std::uint64_t StartedMs = 0;
};

/// The upstreams of \p Service: its live instances, or the members of its
/// roster if no instance is listed as live.
std::vector<candidate> listCandidates(const configuration::catalog &Catalog,
                                      std::string_view Service);

/// Lists of candidates, made anew when the catalog changes.
struct candidate_lists {
  std::uint64_t CatalogVersion = 0;
  configuration::text_map<std::vector<candidate>> ByService;
};

/// Returns listCandidates() of \p Service from \p Lists. The reference is valid
/// until the next call.
const std::vector<candidate> &
candidatesOf(candidate_lists &Lists, const configuration::catalog &Catalog,
             std::string_view Service);

/// Two random numbers in [0, 1), which select the candidates to compare.
struct choice_draws {
  double First = 0.0;
  double Second = 0.0;
};

/// Chooses one of \p Candidates for a node in \p Zone. Candidates with an
/// address in \p Tried and those that announced a drain are excluded. Returns
/// null if none remains.
const candidate *chooseUpstream(const upstream_table &Table,
                                const std::vector<candidate> &Candidates,
                                std::string_view Zone,
                                const std::vector<std::string> &Tried,
                                choice_draws Draws,
                                framework::monotonic_time Now);

/// Records that a request is sent.
void recordStart(upstream_table &Table, std::string_view Address);

/// Records the end of a request with an answer of any outcome. Any answer shows
/// that the upstream's node is alive.
void recordAnswer(upstream_table &Table, std::string_view Address,
                  const reported_load &Load, framework::monotonic_time Now);

/// Records the latency of an answer to a request of kind \p Kind. The first
/// answer of an upstream doesn't count.
void recordLatency(upstream_table &Table, std::string_view Address,
                   std::string_view Kind, framework::microseconds Latency,
                   framework::monotonic_time Now);

/// Records the end of a request without an answer.
void recordFailure(upstream_table &Table, std::string_view Address,
                   framework::monotonic_time Now);

/// Records the end of a request that says nothing about the upstream, such as
/// one that was cancelled.
void recordEnd(upstream_table &Table, std::string_view Address);

/// Records that the upstream announced a drain.
void recordDrain(upstream_table &Table, std::string_view Address,
                 framework::monotonic_time Now);

/// Records that \p Leaving, a backend server at the upstream, has said that it
/// leaves.
void recordLeaving(upstream_table &Table, std::string_view Address,
                   const incarnation &Leaving);

/// Resets the views after a pause of this process, because they are out of
/// date. The counts of outstanding requests are kept, and the incarnations that
/// leave.
void clearViews(upstream_table &Table);

} // namespace figplank::routing
