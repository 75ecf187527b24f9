#include "bench/steady.h"

#include "bench/process.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace figplank::bench {
namespace {

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

/// Corresponds to 37,000 changes per day.
constexpr milliseconds ChangeInterval{2'335};

} // namespace

standins::fleet_spec singleServiceFleet(unsigned Nodes, unsigned Zones,
                                        bool Relays) {
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

std::string makeTemplateValue(int Variant) {
  nlohmann::json Value{
      {"service", "catalogue"},
      {"path", "/" + std::string(300, 'p') + std::to_string(Variant)},
      {"rank", {{"default", 3}}},
      {"deadline_ms", {{"default", 1000}}},
      {"idempotent", true}};
  return Value.dump();
}

steady_cost measureSteadyCost(standins::fleet &Fleet, int Changes) {
  double CpuSeconds = 0.0;
  for (const standins::fleet_node &Node : Fleet.Nodes) {
    CpuSeconds -= cpuSeconds(Node.Process);
  }
  std::uint64_t BytesBefore = loopbackBytes();
  std::uint64_t CallsBefore = Fleet.Platform->calls();
  clock::time_point Start = clock::now();
  for (int I = 0; I < Changes; ++I) {
    Fleet.Platform->publish("templates/steady", makeTemplateValue(I));
    std::this_thread::sleep_for(ChangeInterval);
  }
  double Seconds = std::chrono::duration<double>(clock::now() - Start).count();
  auto Nodes = static_cast<double>(Fleet.Nodes.size());
  steady_cost Cost;
  for (const standins::fleet_node &Node : Fleet.Nodes) {
    CpuSeconds += cpuSeconds(Node.Process);
    Cost.MegaBytes =
        std::max(Cost.MegaBytes, residentBytes(Node.Process) / 1e6);
  }
  Cost.CorePercent = 100.0 * CpuSeconds / Seconds / Nodes;
  // Each byte on the loopback interface is counted once, but is sent by one
  // process and received by another.
  Cost.BytesPerSecond = 2.0 *
                        static_cast<double>(loopbackBytes() - BytesBefore) /
                        Seconds / Nodes;
  Cost.PlatformCallsPerSecond =
      static_cast<double>(Fleet.Platform->calls() - CallsBefore) / Seconds;
  return Cost;
}

} // namespace figplank::bench
