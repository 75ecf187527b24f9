/// \file
/// What one node knows of the upstreams of the services it calls, and the
/// choice among them.
///
/// Two candidates are drawn at random and the one that is expected to answer
/// sooner is taken (Mitzenmacher, "The power of two choices", 2001), in the
/// node's own availability zone unless another does clearly better.
#pragma once

#include "configuration/store.h"
#include "framework/timetypes.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figplank::routing {

/// The load that an upstream's node reports on its answers.
struct reported_load {
  double Limit = 1.0;
  std::uint32_t InFlight = 0;
  std::uint32_t Queued = 0;
  /// Part of the requests that its backend server failed lately.
  double FailureRate = 0.0;
  bool Draining = false;
};

/// What this node saw of one upstream.
struct upstream_view {
  reported_load Load;
  framework::monotonic_time ReportedAt;
  /// This node's own requests there, and those at the time of the report.
  std::uint32_t Outstanding = 0;
  std::uint32_t OutstandingAtReport = 0;
  /// No new work before this time: it refused connections or fell silent.
  framework::monotonic_time AvoidUntil;
  std::uint32_t FailuresInRow = 0;
  /// No new work before this time: it announced that it leaves.
  framework::monotonic_time DrainingUntil;
  /// Time of answers from here in terms of the usual time of their kind, as
  /// this node sees both; smoothed.
  double Slowness = 1.0;
};

struct routing_settings {
  /// First time that a failed upstream is avoided; doubles up to the most.
  framework::milliseconds AvoidBase{100};
  framework::milliseconds MaxAvoidTime{3'000};
  /// Time after which an upstream that announced a drain is tried again: it may
  /// have been restarted at its address. One that still drains says so, and one
  /// that is gone refuses the connection.
  framework::milliseconds DrainRetryInterval{3'000};
  /// Age at which a load report counts for nothing.
  framework::milliseconds ReportLifetime{1'000};
  /// Load of an upstream in the own zone above which others are considered:
  /// queues form before all slots are taken.
  double SpillLoad = 0.75;
  /// Part of the expected time in the own zone that an upstream elsewhere must
  /// stay below to be preferred: bytes between zones are dear.
  double SpillFactor = 0.8;
  /// Weight of a new answer in Slowness, and in the usual times.
  double SlownessSmoothing = 0.1;
  double UsualSmoothing = 0.02;
  /// Part of the candidates that must look alive; with fewer the view is
  /// suspected rather than the fleet.
  double LeastAlive = 0.5;
};

struct upstream_table {
  routing_settings Settings;
  /// Usual milliseconds to an answer, by kind of request.
  configuration::text_map<double> UsualMs;
  /// By address.
  configuration::text_map<upstream_view> Views;
};

/// One upstream that may be chosen.
struct candidate {
  std::string Name;
  std::string Zone;
  std::string Address;
};

/// The live upstreams of \p Service: the roster with the list of instances
/// laid over it, less those that announced a drain.
std::vector<candidate> listCandidates(const configuration::catalog &Catalog,
                                      const upstream_table &Table,
                                      std::string_view Service,
                                      framework::monotonic_time Now);

/// Random draws in [0, 1) for one choice.
struct choice_draws {
  double First = 0.0;
  double Second = 0.0;
};

/// Chooses among \p Candidates, never one whose address is in \p Tried.
/// Returns null if none is left.
const candidate *chooseUpstream(const upstream_table &Table,
                                const std::vector<candidate> &Candidates,
                                std::string_view Zone,
                                const std::vector<std::string> &Tried,
                                choice_draws Draws,
                                framework::monotonic_time Now);

void recordStart(upstream_table &Table, std::string_view Address);

/// Records an answer, whatever its outcome: the upstream's node is alive.
void recordAnswer(upstream_table &Table, std::string_view Address,
                  const reported_load &Load, framework::monotonic_time Now);

/// Records the time that an answer to a request of kind \p Kind took.
void recordLatency(upstream_table &Table, std::string_view Address,
                   std::string_view Kind, framework::microseconds Taken);

/// Records that no answer came.
void recordFailure(upstream_table &Table, std::string_view Address,
                   framework::monotonic_time Now);

/// Records an end without news, such as a cancelled request.
void recordEnd(upstream_table &Table, std::string_view Address);

/// Takes a drain announcement.
void recordDrain(upstream_table &Table, std::string_view Address,
                 framework::monotonic_time Now);

/// Forgets what was seen before a pause of this process.
void clearViews(upstream_table &Table);

} // namespace figplank::routing
