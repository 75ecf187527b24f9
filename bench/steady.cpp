#include "bench/steady.h"

#include "bench/process.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace figplank::bench {
namespace {

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

/// 37,000 changes a day.
constexpr milliseconds ChangeInterval{2'335};

} // namespace

standins::fleet_spec manyNodes(unsigned Nodes, unsigned Zones, bool Relays) {
  standins::fleet_spec Spec;
  Spec.Zones = Zones;
  Spec.Relays = Relays;
  Spec.Organisations = {"alpha"};
  standins::service_spec Service;
  Service.Name = "catalogue";
  Service.Upstreams = Nodes;
  Service.Paths["/read"] = {};
  Spec.Services = {Service};
  standins::template_spec Template;
  Template.Name = "read";
  Template.Service = "catalogue";
  Template.Path = "/read";
  Spec.Templates = {Template};
  return Spec;
}

std::string someValue(int Turn) {
  nlohmann::json Value{
      {"service", "catalogue"},
      {"path", "/" + std::string(300, 'p') + std::to_string(Turn)},
      {"rank", {{"default", 3}}},
      {"deadline_ms", {{"default", 1000}}},
      {"idempotent", true}};
  return Value.dump();
}

steady_cost measureSteady(standins::fleet &Fleet, int Changes) {
  double Processor = 0.0;
  for (const standins::fleet_node &Node : Fleet.Nodes) {
    Processor -= processorSeconds(Node.Process);
  }
  std::uint64_t Bytes = loopbackBytes();
  std::uint64_t Calls = Fleet.Platform->calls();
  clock::time_point Start = clock::now();
  for (int I = 0; I < Changes; ++I) {
    Fleet.Platform->publish("templates/steady", someValue(I));
    std::this_thread::sleep_for(ChangeInterval);
  }
  double Seconds = std::chrono::duration<double>(clock::now() - Start).count();
  auto Nodes = static_cast<double>(Fleet.Nodes.size());
  steady_cost Cost;
  for (const standins::fleet_node &Node : Fleet.Nodes) {
    Processor += processorSeconds(Node.Process);
    Cost.MegaBytes =
        std::max(Cost.MegaBytes, residentBytes(Node.Process) / 1e6);
  }
  Cost.CorePercent = 100.0 * Processor / Seconds / Nodes;
  // What one node sends another receives; a node spends both.
  Cost.BytesPerSecond =
      2.0 * static_cast<double>(loopbackBytes() - Bytes) / Seconds / Nodes;
  Cost.PlatformCallsPerSecond =
      static_cast<double>(Fleet.Platform->calls() - Calls) / Seconds;
  return Cost;
}

} // namespace figplank::bench
