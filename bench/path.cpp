#include "bench/path.h"

#include "bench/process.h"
#include "bench/report.h"
#include "standins/fleet.h"
#include "standins/loadgenerator.h"

#include <algorithm>
#include <cstdio>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace figplank::bench {
namespace {

using standins::fleet;
using standins::fleet_spec;
using std::chrono::milliseconds;

constexpr int RoundCount = 7;
constexpr milliseconds RoundDuration{1'500};
constexpr unsigned IdleConnectionCount = 430;

/// An entry node, whose own service receives no calls, and one upstream.
fleet_spec twoNodeFleet() {
  fleet_spec Spec;
  Spec.Zones = 1;
  Spec.Organisations = {"alpha"};
  for (const char *Name : {"entry", "served"}) {
    standins::service_spec Service;
    Service.Name = Name;
    Service.Upstreams = 1;
    Service.Slots = 200;
    // Direct calls to the backend server use the path that callers send to a
    // node.
    for (const char *Path : {"/read", "/work/read"}) {
      Service.Paths[Path].ServiceTime = std::chrono::microseconds(0);
    }
    Spec.Services.push_back(Service);
  }
  standins::template_spec Template;
  Template.Name = "read";
  Template.Service = "served";
  Template.Path = "/read";
  Spec.Templates = {Template};
  return Spec;
}

struct latency_ms {
  double Median = 0.0;
  double P99 = 0.0;
};

latency_ms measureLatency(standins::load_generator &Callers, double Rate) {
  Callers.clear();
  standins::load_stream Stream;
  Stream.Template = "read";
  Stream.Organisation = "alpha";
  Stream.Rate = Rate;
  Callers.run({Stream}, RoundDuration);
  standins::stream_summary Summary = standins::summarize(Callers.results(), 0);
  return {Summary.MedianMs, Summary.P99Ms};
}

/// Idle caller connections, open until this object is destroyed.
class idle_connections {
public:
  idle_connections(const std::string &Address, unsigned Count) {
    std::size_t Colon = Address.rfind(':');
    sockaddr_in Target{};
    Target.sin_family = AF_INET;
    Target.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
    inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Target.sin_addr);
    for (unsigned I = 0; I < Count; ++I) {
      int Socket = socket(AF_INET, SOCK_STREAM, 0);
      if (connect(Socket, reinterpret_cast<sockaddr *>(&Target),
                  sizeof Target) == 0) {
        Sockets.push_back(Socket);
      }
    }
  }
  ~idle_connections() {
    for (int Socket : Sockets) {
      close(Socket);
    }
  }
  idle_connections(const idle_connections &) = delete;
  idle_connections &operator=(const idle_connections &) = delete;

private:
  std::vector<int> Sockets;
};

double medianOf(std::vector<double> Numbers) {
  return standins::percentile(std::move(Numbers), 0.5);
}

/// Latency that the nodes add at \p Rate calls per second: the median over the
/// rounds of the difference to direct calls in the same round.
latency_ms measureAddedLatency(fleet &Fleet, double Rate,
                               unsigned Connections) {
  standins::load_generator Direct({Fleet.Nodes[1].BackendAddress});
  standins::load_generator ThroughNodes({Fleet.Nodes[0].Http});
  idle_connections IdleConnections(Fleet.Nodes[0].Http, Connections);
  (void)measureLatency(ThroughNodes, Rate);
  std::vector<double> Medians;
  std::vector<double> P99s;
  std::printf("%.0f calls/s, %u additional idle connections\n", Rate,
              Connections);
  printRow({"direct p50", "direct p99", "through p50", "through p99"});
  for (int Round = 0; Round < RoundCount; ++Round) {
    latency_ms DirectLatency = measureLatency(Direct, Rate);
    latency_ms NodeLatency = measureLatency(ThroughNodes, Rate);
    printRow({formatNumber(DirectLatency.Median, 3),
              formatNumber(DirectLatency.P99, 3),
              formatNumber(NodeLatency.Median, 3),
              formatNumber(NodeLatency.P99, 3)});
    Medians.push_back(NodeLatency.Median - DirectLatency.Median);
    P99s.push_back(NodeLatency.P99 - DirectLatency.P99);
  }
  latency_ms Result{medianOf(Medians), medianOf(P99s)};
  std::printf("added p50 %.3f ms, p99 %.3f ms\n", Result.Median, Result.P99);
  return Result;
}

} // namespace

int benchPath() {
  fleet Fleet(twoNodeFleet());
  if (!Fleet.awaitReady()) {
    std::printf("the fleet did not become ready\n");
    return 1;
  }
  latency_ms AtNormalRate = measureAddedLatency(Fleet, 175, 0);
  double SecondsBefore = cpuSeconds(Fleet.Nodes[1].Process);
  latency_ms AtTenfoldRate =
      measureAddedLatency(Fleet, 1'750, IdleConnectionCount);
  double UsedSeconds = cpuSeconds(Fleet.Nodes[1].Process) - SecondsBefore;
  std::printf("node of the upstream: %.0f us of CPU time per call, %.1f MB\n",
              UsedSeconds * 1e6 / (1'750 * 1.5 * (RoundCount + 1)),
              residentBytes(Fleet.Nodes[1].Process) / 1e6);
  return report(
      "path", {{"added p99 ms at 175/s", AtNormalRate.P99, 0.44, bound::AtMost},
               {"added p99 ms at 1750/s, 430 connections", AtTenfoldRate.P99,
                0.44, bound::AtMost}});
}

} // namespace figplank::bench
