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

constexpr int Rounds = 7;
constexpr milliseconds RoundTime{1'500};
constexpr unsigned OpenConnections = 430;

/// An entry whose service is not called, and one upstream.
fleet_spec twoNodes() {
  fleet_spec Spec;
  Spec.Zones = 1;
  Spec.Organisations = {"alpha"};
  for (const char *Name : {"entry", "served"}) {
    standins::service_spec Service;
    Service.Name = Name;
    Service.Upstreams = 1;
    Service.Slots = 200;
    // Direct calls use the path that callers send to a node.
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

struct latencies {
  double Median = 0.0;
  double P99 = 0.0;
};

latencies measure(standins::load_generator &Callers, double Rate) {
  Callers.clear();
  standins::load_stream Stream;
  Stream.Template = "read";
  Stream.Organisation = "alpha";
  Stream.Rate = Rate;
  Callers.run({Stream}, RoundTime);
  standins::stream_summary Summary = standins::summarize(Callers.results(), 0);
  return {Summary.MedianMs, Summary.P99Ms};
}

/// Idle connections of callers, held open.
class open_connections {
public:
  open_connections(const std::string &Address, unsigned Count) {
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
  ~open_connections() {
    for (int Socket : Sockets) {
      close(Socket);
    }
  }
  open_connections(const open_connections &) = delete;
  open_connections &operator=(const open_connections &) = delete;

private:
  std::vector<int> Sockets;
};

double medianOf(std::vector<double> Numbers) {
  return standins::percentile(std::move(Numbers), 0.5);
}

/// Median over rounds of the paired difference, at one rate.
latencies addedAt(fleet &Fleet, double Rate, unsigned Connections) {
  standins::load_generator Direct({Fleet.Nodes[1].BackendAddress});
  standins::load_generator Through({Fleet.Nodes[0].Http});
  open_connections Open(Fleet.Nodes[0].Http, Connections);
  (void)measure(Through, Rate);
  std::vector<double> Medians;
  std::vector<double> P99s;
  std::printf("%.0f calls/s, %u further connections\n", Rate, Connections);
  printRow({"direct p50", "direct p99", "through p50", "through p99"});
  for (int Round = 0; Round < Rounds; ++Round) {
    latencies Plain = measure(Direct, Rate);
    latencies Added = measure(Through, Rate);
    printRow({formatNumber(Plain.Median, 3), formatNumber(Plain.P99, 3),
              formatNumber(Added.Median, 3), formatNumber(Added.P99, 3)});
    Medians.push_back(Added.Median - Plain.Median);
    P99s.push_back(Added.P99 - Plain.P99);
  }
  latencies Result{medianOf(Medians), medianOf(P99s)};
  std::printf("added p50 %.3f ms, p99 %.3f ms\n", Result.Median, Result.P99);
  return Result;
}

} // namespace

int benchPath() {
  fleet Fleet(twoNodes());
  if (!Fleet.awaitReady()) {
    std::printf("the fleet did not become ready\n");
    return 1;
  }
  latencies Usual = addedAt(Fleet, 175, 0);
  double Before = processorSeconds(Fleet.Nodes[1].Process);
  latencies Tenfold = addedAt(Fleet, 1'750, OpenConnections);
  double Used = processorSeconds(Fleet.Nodes[1].Process) - Before;
  std::printf("upstream's node: %.0f us of processor a call, %.1f MB\n",
              Used * 1e6 / (1'750 * 1.5 * (Rounds + 1)),
              residentBytes(Fleet.Nodes[1].Process) / 1e6);
  return report("path",
                {{"added p99 ms at 175/s", Usual.P99, 0.44, bound::AtMost},
                 {"added p99 ms at 1750/s, 430 connections", Tenfold.P99, 0.44,
                  bound::AtMost}});
}

} // namespace figplank::bench
