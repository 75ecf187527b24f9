/// \file
/// Deployment and measured runs that the overload benchmarks share.
#pragma once

#include "standins/fleet.h"
#include "standins/loadgenerator.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace figplank::bench {

using std::chrono::milliseconds;

/// Requests per second that the last service of the chain can process.
inline constexpr double ChainCapacity = 400.0;

/// Four services in two zones: the first calls the second, which calls the
/// third and the last concurrently. The last has the lowest capacity. Templates
/// `grid` (rank 0), `price` (rank 1), `explain` (rank 3) and `archive` (rank 5)
/// use this same chain. Nodes run with `--admission=MODE`.
standins::fleet_spec chainFleet(const std::string &Mode);

/// Load for one template of the chain, \p Rate requests per second.
standins::load_stream chainStream(const std::string &Template,
                                  const std::string &Organisation, double Rate);

/// Results of one run on a new fleet.
struct measured_run {
  std::vector<standins::stream_summary> Streams;
  std::vector<standins::request_result> Results;
  std::chrono::steady_clock::time_point Start;
  double Seconds = 0.0;
  /// Executions started by the backend servers of all services.
  std::size_t Executions = 0;
};

struct run_plan {
  std::string Mode = "coordinated";
  std::vector<standins::load_stream> Streams;
  /// Requests that start in this time are not in the summaries.
  milliseconds WarmupDuration{3'000};
  milliseconds MeasuredDuration{5'000};
  /// Called in a separate thread when the load starts.
  std::function<void(standins::fleet &)> InjectFaults;
  /// Modifies the specification before the fleet starts.
  std::function<void(standins::fleet_spec &)> AdjustSpec;
};

/// Generates the plan's load and summarizes the requests that start after the
/// warm-up.
measured_run runPlan(const run_plan &Plan);

/// Prints one row for each stream.
void printStreams(const std::string &Title, const run_plan &Plan,
                  const measured_run &Run);

/// Requests of one stream that succeeded, per second.
double goodput(const measured_run &Run, std::size_t Stream);

} // namespace figplank::bench
