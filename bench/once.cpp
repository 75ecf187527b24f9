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

constexpr unsigned Zones = 3;
constexpr double Rate = 40.0;
constexpr milliseconds Duration{15'000};

/// Reveals in service `hints` that each make one charge in `ledger`, and
/// charges of callers.
fleet_spec threeZones() {
  fleet_spec Spec;
  Spec.Zones = Zones;
  Spec.Relays = true;
  Spec.Organisations = {"alpha", "beta"};
  Spec.NodeFlags = {"--clock-bound-ms=200", "--retention-ms=60000"};
  standins::service_spec Hints;
  Hints.Name = "hints";
  Hints.Upstreams = Zones;
  Hints.Slots = 20;
  Hints.Paths["/reveal"] = {std::chrono::microseconds(5'000), {{"charge"}}};
  standins::service_spec Ledger;
  Ledger.Name = "ledger";
  Ledger.Upstreams = Zones;
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
  SilenceConnections,
  CrashBackend,
  TruncateAnswers,
  ShedAll,
  PlatformDown,
  ReplaceInRoster,
};
constexpr int FaultCount = 9;
constexpr const char *FaultNames[FaultCount] = {
    "kill_node",     "freeze_node",   "cut_zone",
    "silence",       "crash_backend", "truncate_answers",
    "backend_sheds", "platform_down", "change_roster"};

/// Publishes the ledger's roster with its upstreams turned, so that homes
/// move, and with the previous one, and then without.
void changeRoster(fleet &Fleet, std::mt19937_64 &Random) {
  nlohmann::json All = nlohmann::json::array();
  for (std::size_t Index : Fleet.nodesOf("ledger")) {
    const standins::fleet_node &Node = Fleet.Nodes[Index];
    All.push_back({{"name", Node.Name},
                   {"zone", "z" + std::to_string(Node.Zone)},
                   {"address", Node.Rpc}});
  }
  nlohmann::json Fewer = All;
  Fewer.erase(Random() % Fewer.size());
  nlohmann::json Value{{"slots", 20},
                       {"roster", Fewer},
                       {"previous", nlohmann::json::array({All})}};
  Fleet.Platform->publish("services/ledger", Value.dump());
  std::this_thread::sleep_for(milliseconds(1'500));
  Value = {{"slots", 20},
           {"roster", All},
           {"previous", nlohmann::json::array({Fewer, All})}};
  Fleet.Platform->publish("services/ledger", Value.dump());
  std::this_thread::sleep_for(milliseconds(1'500));
  Fleet.publishService("ledger");
}

void inject(fleet &Fleet, fault Fault, std::size_t Index,
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
  case fault::SilenceConnections:
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
  case fault::ReplaceInRoster:
    changeRoster(Fleet, Random);
    break;
  }
}

/// Draws faults until \p Stop; two run at a time, one from each half of the
/// nodes and of the list.
void runFaults(fleet &Fleet, std::uint64_t Seed, unsigned Lane,
               std::atomic<bool> &Stop) {
  std::mt19937_64 Random(Seed * 2 + Lane);
  while (!Stop) {
    // Lane 0 takes faults that own a fleet-wide resource, lane 1 the others,
    // so that two faults never undo one another.
    static constexpr fault Shared[] = {fault::CutZone, fault::PlatformDown,
                                       fault::ReplaceInRoster};
    static constexpr fault Single[] = {
        fault::KillNode,     fault::FreezeNode,      fault::SilenceConnections,
        fault::CrashBackend, fault::TruncateAnswers, fault::ShedAll};
    fault Fault = Lane == 0 ? Shared[Random() % 3] : Single[Random() % 6];
    std::size_t Index = Random() % Fleet.Nodes.size();
    std::printf("  %s %s\n", FaultNames[static_cast<int>(Fault)],
                Fleet.Nodes[Index].Name.c_str());
    inject(Fleet, Fault, Index, Random);
    std::this_thread::sleep_for(milliseconds(200 + Random() % 600));
  }
}

struct verdict {
  int Violations = 0;
  int Completed = 0;
  int NotRun = 0;
  int Unknown = 0;
};

/// Holds every answer against every execution.
verdict checkInvariants(const fleet &Fleet,
                        const std::vector<request_result> &Results) {
  std::map<std::string, int> Starts;
  for (const standins::execution_record &Record : Fleet.Log.records()) {
    if (!Record.Key.empty()) {
      ++Starts[Record.Key];
    }
  }
  verdict Verdict;
  for (const auto &[Key, Count] : Starts) {
    if (Count > 1) {
      std::printf("VIOLATION: %s ran %d times\n", Key.c_str(), Count);
      ++Verdict.Violations;
    }
  }
  for (const request_result &Result : Results) {
    bool FalseRefusal = Result.Outcome == "not_run" && Starts[Result.Key] > 0;
    bool FalseSuccess = Result.Whole && Starts[Result.Key] == 0;
    if (FalseRefusal || FalseSuccess || Result.Wrong) {
      std::printf("VIOLATION: %s %s reason=%s starts=%d wrong=%d\n",
                  Result.Key.c_str(), Result.Outcome.c_str(),
                  Result.Reason.c_str(), Starts[Result.Key],
                  Result.Wrong ? 1 : 0);
      ++Verdict.Violations;
    }
    ++(Result.Whole                  ? Verdict.Completed
       : Result.Outcome == "not_run" ? Verdict.NotRun
                                     : Verdict.Unknown);
  }
  return Verdict;
}

verdict runOnce(std::uint64_t Seed, bool WithFaults) {
  fleet Fleet(threeZones());
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
  std::vector<std::thread> Lanes;
  for (unsigned Lane = 0; WithFaults && Lane < 2; ++Lane) {
    Lanes.emplace_back([&, Lane]() { runFaults(Fleet, Seed, Lane, Stop); });
  }
  Callers.run({Charge, Reveal}, Duration);
  Stop = true;
  for (std::thread &Lane : Lanes) {
    Lane.join();
  }
  verdict Verdict = checkInvariants(Fleet, Callers.results());
  std::printf("%s: %d completed, %d not_run, %d unknown, %d violations\n",
              WithFaults ? "with faults" : "without faults", Verdict.Completed,
              Verdict.NotRun, Verdict.Unknown, Verdict.Violations);
  std::map<std::string, int> Reasons;
  for (const request_result &Result : Callers.results()) {
    if (!Result.Whole) {
      ++Reasons[Result.Outcome + "/" + Result.Reason];
    }
  }
  for (const auto &[Reason, Count] : Reasons) {
    std::printf("    %s=%d", Reason.c_str(), Count);
  }
  std::printf("\n");
  std::fflush(stdout);
  return Verdict;
}

double completedPart(const verdict &Verdict) {
  double Total = Verdict.Completed + Verdict.NotRun + Verdict.Unknown;
  return Total > 0 ? Verdict.Completed / Total : 0.0;
}

} // namespace

int benchOnce(std::uint64_t Seed) {
  std::printf("seed %llu\n", static_cast<unsigned long long>(Seed));
  verdict Calm = runOnce(Seed, false);
  verdict Faulty = runOnce(Seed, true);
  return report(
      "once",
      {{"violations", static_cast<double>(Calm.Violations + Faulty.Violations),
        0.0, bound::AtMost},
       {"completed without faults", completedPart(Calm), 0.99, bound::AtLeast},
       {"completed with faults", completedPart(Faulty), 0.60, bound::AtLeast}});
}

} // namespace figplank::bench
