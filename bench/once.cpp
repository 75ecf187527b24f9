#include "bench/once.h"

#include "bench/report.h"
#include "standins/fleet.h"
#include "standins/loadgenerator.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <map>
#include <random>
#include <thread>

namespace figplank::bench {
namespace {

using standins::fleet;
using standins::fleet_spec;
using standins::request_result;
using std::chrono::milliseconds;

constexpr unsigned ZoneCount = 3;
constexpr double Rate = 40.0;
constexpr milliseconds Duration{15'000};

/// Two services: each `reveal` request in `hints` makes one `charge` request in
/// `ledger`, and callers send `charge` requests too.
fleet_spec threeZoneFleet() {
  fleet_spec Spec;
  Spec.Zones = ZoneCount;
  Spec.Relays = true;
  Spec.Organisations = {"alpha", "beta"};
  Spec.NodeFlags = {"--clock-bound-ms=200", "--retention-ms=60000"};
  standins::service_spec Hints;
  Hints.Name = "hints";
  Hints.Upstreams = ZoneCount;
  Hints.Slots = 20;
  Hints.Paths["/reveal"] = {std::chrono::microseconds(5'000), {{"charge"}}};
  standins::service_spec Ledger;
  Ledger.Name = "ledger";
  Ledger.Upstreams = ZoneCount;
  Ledger.Slots = 20;
  Ledger.Paths["/charge"] = {std::chrono::microseconds(10'000), {}};
  Spec.Services = {Hints, Ledger};
  standins::template_spec Reveal;
  Reveal.Name = "reveal";
  Reveal.Service = "hints";
  Reveal.Path = "/reveal";
  Reveal.DeadlineMs = 2'000;
  Reveal.Idempotent = false;
  Reveal.Rank = 1;
  standins::template_spec Charge = Reveal;
  Charge.Name = "charge";
  Charge.Service = "ledger";
  Charge.Path = "/charge";
  Spec.Templates = {Reveal, Charge};
  return Spec;
}

enum class fault {
  KillNode,
  FreezeNode,
  CutZone,
  StallConnections,
  CrashBackend,
  TruncateAnswers,
  ShedAll,
  PlatformDown,
  ChangeRoster,
};
constexpr int FaultCount = 9;
constexpr const char *FaultNames[FaultCount] = {
    "kill_node",     "freeze_node",   "cut_zone",
    "silence",       "crash_backend", "truncate_answers",
    "backend_sheds", "platform_down", "change_roster"};

/// Publishes the roster of `ledger` without one random node, then the full
/// roster, both with the previous rosters, so that the homes of requests move
/// and move back. Finally publishes the full roster without previous ones.
void changeRoster(fleet &Fleet, std::mt19937_64 &Random) {
  nlohmann::json FullRoster = nlohmann::json::array();
  for (std::size_t Index : Fleet.nodesOf("ledger")) {
    const standins::fleet_node &Node = Fleet.Nodes[Index];
    FullRoster.push_back({{"name", Node.Name},
                          {"zone", "z" + std::to_string(Node.Zone)},
                          {"address", Node.Rpc}});
  }
  nlohmann::json ReducedRoster = FullRoster;
  ReducedRoster.erase(Random() % ReducedRoster.size());
  nlohmann::json Value{{"slots", 20},
                       {"roster", ReducedRoster},
                       {"previous", nlohmann::json::array({FullRoster})}};
  Fleet.Platform->publish("services/ledger", Value.dump());
  std::this_thread::sleep_for(milliseconds(1'500));
  Value = {{"slots", 20},
           {"roster", FullRoster},
           {"previous", nlohmann::json::array({ReducedRoster, FullRoster})}};
  Fleet.Platform->publish("services/ledger", Value.dump());
  std::this_thread::sleep_for(milliseconds(1'500));
  Fleet.publishService("ledger");
}

void injectFault(fleet &Fleet, fault Fault, std::size_t Index,
                 std::mt19937_64 &Random) {
  standins::fleet_node &Node = Fleet.Nodes[Index];
  standins::backend_faults Faults;
  switch (Fault) {
  case fault::KillNode:
    Fleet.signalNode(Index, SIGKILL);
    Fleet.awaitExit(Index);
    std::this_thread::sleep_for(milliseconds(300));
    Fleet.startNode(Index);
    break;
  case fault::FreezeNode:
    Fleet.signalNode(Index, SIGSTOP);
    std::this_thread::sleep_for(milliseconds(2'500));
    Fleet.signalNode(Index, SIGCONT);
    break;
  case fault::CutZone:
    Fleet.cutZone(Node.Zone);
    std::this_thread::sleep_for(milliseconds(1'500));
    Fleet.healZones();
    break;
  case fault::StallConnections:
    Node.Relay->silence();
    break;
  case fault::CrashBackend:
    Node.Backend->crash();
    std::this_thread::sleep_for(milliseconds(200));
    Node.Backend->restart();
    break;
  case fault::TruncateAnswers:
    Faults.TruncateAnswers = true;
    Node.Backend->setFaults(Faults);
    std::this_thread::sleep_for(milliseconds(300));
    Node.Backend->setFaults({});
    break;
  case fault::ShedAll:
    Faults.ShedAll = true;
    Node.Backend->setFaults(Faults);
    std::this_thread::sleep_for(milliseconds(500));
    Node.Backend->setFaults({});
    break;
  case fault::PlatformDown:
    Fleet.Platform->setMode(standins::platform_mode::Down);
    std::this_thread::sleep_for(milliseconds(2'000));
    Fleet.Platform->setMode(standins::platform_mode::Up);
    break;
  case fault::ChangeRoster:
    changeRoster(Fleet, Random);
    break;
  }
}

/// Injects random faults, one after another, until \p Stop is set. Two threads
/// call this, each with its own set of faults.
void runFaults(fleet &Fleet, std::uint64_t Seed, unsigned ThreadIndex,
               std::atomic<bool> &Stop) {
  std::mt19937_64 Random(Seed * 2 + ThreadIndex);
  while (!Stop) {
    // Thread 0 injects the faults of resources that the whole fleet shares,
    // thread 1 the others, so that no fault ends another one early.
    static constexpr fault FleetFaults[] = {fault::CutZone, fault::PlatformDown,
                                            fault::ChangeRoster};
    static constexpr fault NodeFaults[] = {
        fault::KillNode,     fault::FreezeNode,      fault::StallConnections,
        fault::CrashBackend, fault::TruncateAnswers, fault::ShedAll};
    fault Fault =
        ThreadIndex == 0 ? FleetFaults[Random() % 3] : NodeFaults[Random() % 6];
    std::size_t Index = Random() % Fleet.Nodes.size();
    std::printf("  %s %s\n", FaultNames[static_cast<int>(Fault)],
                Fleet.Nodes[Index].Name.c_str());
    injectFault(Fleet, Fault, Index, Random);
    std::this_thread::sleep_for(milliseconds(200 + Random() % 600));
  }
}

struct outcome_counts {
  int Violations = 0;
  int Completed = 0;
  int NotRun = 0;
  int Unknown = 0;
};

/// Checks every result against the recorded executions.
outcome_counts checkInvariants(const fleet &Fleet,
                               const std::vector<request_result> &Results) {
  std::map<std::string, int> Executions;
  for (const standins::execution_record &Record : Fleet.Log.records()) {
    if (!Record.Key.empty()) {
      ++Executions[Record.Key];
    }
  }
  outcome_counts Counts;
  for (const auto &[Key, Count] : Executions) {
    if (Count > 1) {
      std::printf("VIOLATION: %s ran %d times\n", Key.c_str(), Count);
      ++Counts.Violations;
    }
  }
  for (const request_result &Result : Results) {
    bool FalseRefusal =
        Result.Outcome == "not_run" && Executions[Result.Key] > 0;
    bool FalseSuccess = Result.Succeeded && Executions[Result.Key] == 0;
    if (FalseRefusal || FalseSuccess || Result.BodyMismatch) {
      std::printf("VIOLATION: %s %s reason=%s executions=%d wrong=%d\n",
                  Result.Key.c_str(), Result.Outcome.c_str(),
                  Result.Reason.c_str(), Executions[Result.Key],
                  Result.BodyMismatch ? 1 : 0);
      ++Counts.Violations;
    }
    ++(Result.Succeeded              ? Counts.Completed
       : Result.Outcome == "not_run" ? Counts.NotRun
                                     : Counts.Unknown);
  }
  return Counts;
}

outcome_counts runWorkload(std::uint64_t Seed, bool WithFaults) {
  fleet Fleet(threeZoneFleet());
  if (!Fleet.awaitReady()) {
    std::printf("the fleet did not become ready\n");
    std::exit(1);
  }
  std::this_thread::sleep_for(milliseconds(500));
  standins::load_generator Callers(Fleet.entries());
  standins::load_stream Charge;
  Charge.Template = "charge";
  Charge.Organisation = "alpha";
  Charge.Rate = Rate / 2;
  Charge.WithKey = true;
  Charge.Resends = 3;
  Charge.ResendPause = milliseconds(300);
  standins::load_stream Reveal = Charge;
  Reveal.Template = "reveal";
  Reveal.Organisation = "beta";
  std::atomic<bool> Stop{false};
  std::vector<std::thread> FaultThreads;
  for (unsigned ThreadIndex = 0; WithFaults && ThreadIndex < 2; ++ThreadIndex) {
    FaultThreads.emplace_back(
        [&, ThreadIndex]() { runFaults(Fleet, Seed, ThreadIndex, Stop); });
  }
  Callers.run({Charge, Reveal}, Duration);
  Stop = true;
  for (std::thread &FaultThread : FaultThreads) {
    FaultThread.join();
  }
  outcome_counts Counts = checkInvariants(Fleet, Callers.results());
  std::printf("%s: %d completed, %d not_run, %d unknown, %d violations\n",
              WithFaults ? "with faults" : "without faults", Counts.Completed,
              Counts.NotRun, Counts.Unknown, Counts.Violations);
  std::map<std::string, int> Reasons;
  for (const request_result &Result : Callers.results()) {
    if (!Result.Succeeded) {
      ++Reasons[Result.Outcome + "/" + Result.Reason];
    }
  }
  for (const auto &[Reason, Count] : Reasons) {
    std::printf("    %s=%d", Reason.c_str(), Count);
  }
  std::printf("\n");
  std::fflush(stdout);
  return Counts;
}

double completedFraction(const outcome_counts &Counts) {
  double Total = Counts.Completed + Counts.NotRun + Counts.Unknown;
  return Total > 0 ? Counts.Completed / Total : 0.0;
}

} // namespace

int benchOnce(std::uint64_t Seed) {
  std::printf("seed %llu\n", static_cast<unsigned long long>(Seed));
  outcome_counts WithoutFaults = runWorkload(Seed, false);
  outcome_counts UnderFaults = runWorkload(Seed, true);
  return report(
      "once",
      {{"violations",
        static_cast<double>(WithoutFaults.Violations + UnderFaults.Violations),
        0.0, bound::AtMost},
       {"completed without faults", completedFraction(WithoutFaults), 0.99,
        bound::AtLeast},
       {"completed with faults", completedFraction(UnderFaults), 0.60,
        bound::AtLeast}});
}

} // namespace figplank::bench
