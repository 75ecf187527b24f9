/// \file
/// The deployment and the runs that the overload benchmarks share.
#pragma once

#include "standins/fleet.h"
#include "standins/loadgenerator.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace figplank::bench {

using std::chrono::milliseconds;

/// Whole requests per second that the last service of the chain can carry.
inline constexpr double ChainCapacity = 400.0;

/// Four services over two zones, called in a chain with a fan-out at the
/// second; the last has the least capacity. Templates `grid` (rank 0),
/// `price` (rank 1), `explain` (rank 3) and `archive` (rank 5) pass the same
/// chain. Nodes run with `--admission=MODE`.
standins::fleet_spec chainFleet(const std::string &Mode);

/// A stream of one of the chain's templates.
standins::load_stream chainStream(const std::string &Template,
                                  const std::string &Organisation, double Rate);

/// One measured run on a fresh fleet.
struct measured_run {
  std::vector<standins::stream_summary> Streams;
  std::vector<standins::request_result> Results;
  std::chrono::steady_clock::time_point Start;
  double Seconds = 0.0;
  /// Executions that began at all services.
  std::size_t Executions = 0;
};

struct run_plan {
  std::string Mode = "coordinated";
  std::vector<standins::load_stream> Streams;
  /// Not counted.
  milliseconds Warmup{3'000};
  milliseconds Measured{5'000};
  /// Called from a thread of its own when the load begins.
  std::function<void(standins::fleet &)> Faults;
  /// Changes the fleet before it starts.
  std::function<void(standins::fleet_spec &)> Adjust;
};

/// Offers the plan's load and sums up what started after the warm-up.
measured_run runPlan(const run_plan &Plan);

/// Prints one row for each stream.
void printStreams(const std::string &Title, const run_plan &Plan,
                  const measured_run &Run);

/// Whole answers per second of one stream.
double goodput(const measured_run &Run, std::size_t Stream);

} // namespace figplank::bench
