#include "bench/slopes.h"

#include "admission/sharecontroller.h"
#include "bench/process.h"
#include "bench/report.h"
#include "bench/steady.h"
#include "execution/home.h"
#include "membership/readers.h"
#include "routing/upstreams.h"
#include "standins/fleet.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <malloc.h>
#include <random>
#include <thread>
#include <vector>

namespace figplank::bench {
namespace {

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

/// A cost measured at one size.
struct sample {
  double Size = 0.0;
  double Cost = 0.0;
};

struct line_fit {
  double Slope = 0.0;
  double Intercept = 0.0;
};

/// Fits a line to \p Samples by least squares.
line_fit fitLine(const std::vector<sample> &Samples) {
  double SampleCount = static_cast<double>(Samples.size());
  double SumX = 0.0;
  double SumY = 0.0;
  double SumXX = 0.0;
  double SumXY = 0.0;
  for (const sample &Sample : Samples) {
    SumX += Sample.Size;
    SumY += Sample.Cost;
    SumXX += Sample.Size * Sample.Size;
    SumXY += Sample.Size * Sample.Cost;
  }
  double Slope =
      (SampleCount * SumXY - SumX * SumY) / (SampleCount * SumXX - SumX * SumX);
  return {Slope, (SumY - Slope * SumX) / SampleCount};
}

double reportFit(const char *Title, const char *Unit,
                 const std::vector<sample> &Samples, double DesignSize) {
  std::printf("%s:", Title);
  for (const sample &Sample : Samples) {
    std::printf(" %.0f -> %.4g;", Sample.Size, Sample.Cost);
  }
  line_fit Fit = fitLine(Samples);
  double CostAtDesignSize = Fit.Intercept + Fit.Slope * DesignSize;
  std::printf(" fit %.4g + %.4g x; at %.0f: %.4g %s\n", Fit.Intercept,
              Fit.Slope, DesignSize, CostAtDesignSize, Unit);
  std::fflush(stdout);
  return CostAtDesignSize;
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

double secondsSince(clock::time_point Start) {
  return std::chrono::duration<double>(clock::now() - Start).count();
}

configuration::published_entry makeInstance(std::uint64_t Number) {
  std::string Name = "node-" + std::to_string(Number);
  return {"instances/service-" + std::to_string(Number % 2'500) + "/" + Name,
          Number + 1,
          R"({"zone":"z9","address":"127.0.9.1:)" +
              std::to_string(1 + Number % 65'000) + R"(","state":"live"})"};
}

struct store_cost {
  double Bytes = 0.0;
  double ApplyMicroseconds = 0.0;
  double DigestMicroseconds = 0.0;
  double ListMilliseconds = 0.0;
};

store_cost measureStore(std::uint64_t Entries) {
  store_cost Cost;
  double BytesBefore = heapBytes();
  configuration::store Store;
  clock::time_point Start = clock::now();
  for (std::uint64_t I = 0; I < Entries; ++I) {
    configuration::applyEntry(Store, makeInstance(I));
  }
  Cost.ApplyMicroseconds =
      secondsSince(Start) * 1e6 / static_cast<double>(Entries);
  Cost.Bytes = heapBytes() - BytesBefore;
  Start = clock::now();
  for (int I = 0; I < 100; ++I) {
    (void)configuration::summaryDigest(Store);
  }
  Cost.DigestMicroseconds = secondsSince(Start) * 1e4;
  Start = clock::now();
  (void)membership::listNodes(Store.Catalog, "");
  Cost.ListMilliseconds = secondsSince(Start) * 1e3;
  return Cost;
}

struct home_cost {
  double Bytes = 0.0;
  double DecideMicroseconds = 0.0;
};

home_cost measureHome(std::uint64_t Ids, bool Fenced) {
  home_cost Cost;
  double BytesBefore = heapBytes();
  framework::wall_time Now(milliseconds(1'000'000));
  execution::home_settings Settings;
  Settings.MaxRuns = Ids;
  Settings.MaxFences = Ids;
  execution::home_table Table =
      execution::makeHomeTable(Settings, framework::wall_time());
  configuration::service_settings Service;
  Service.Roster = {{"a", "z", "127.0.0.1:1"}};
  execution::updateRoster(Table, Service, framework::wall_time());
  std::mt19937_64 Random(1);
  clock::time_point Start = clock::now();
  for (std::uint64_t I = 0; I < Ids; ++I) {
    auto Id = execution::makeRequestId(Now, Random(), Random());
    (void)execution::decideRun(Table, Id, "127.0.0.1:1", false, Now);
    if (Fenced) {
      execution::fenceRun(Table, Id, framework::refusal_reason::Overload);
    } else {
      execution::completeRun(Table, Id,
                             {200, "text/plain", std::string(200, 'a')});
    }
  }
  Cost.DecideMicroseconds =
      secondsSince(Start) * 1e6 / static_cast<double>(Ids);
  Cost.Bytes = heapBytes() - BytesBefore;
  return Cost;
}

/// Measures the microseconds that one choice among the upstreams of a service
/// takes, and sets \p Bytes to the memory of the upstream table.
sample measureChoice(unsigned Upstreams, double &Bytes) {
  configuration::store Store;
  for (std::uint64_t I = 0; I < Upstreams; ++I) {
    configuration::published_entry Entry = makeInstance(I);
    Entry.Key = "instances/one/node-" + std::to_string(I);
    configuration::applyEntry(Store, Entry);
  }
  double BytesBefore = heapBytes();
  routing::upstream_table Table;
  framework::monotonic_time Now{};
  for (const std::string &Address : membership::listNodes(Store.Catalog, "")) {
    routing::recordStart(Table, Address);
  }
  Bytes = heapBytes() - BytesBefore;
  constexpr int Choices = 1'000;
  clock::time_point Start = clock::now();
  for (int I = 0; I < Choices; ++I) {
    auto Candidates = routing::listCandidates(Store.Catalog, "one");
    (void)routing::chooseUpstream(Table, Candidates, "z9", {}, {0.3, 0.7}, Now);
  }
  return {static_cast<double>(Upstreams), secondsSince(Start) * 1e6 / Choices};
}

/// Returns the microseconds that the end of one window takes with
/// \p Organisations organisations.
double measureShares(unsigned Organisations) {
  framework::monotonic_time Now{};
  admission::share_controller Shares = admission::makeShareController({}, Now);
  for (unsigned I = 0; I < Organisations; ++I) {
    admission::recordArrival(Shares, 3, "organisation-" + std::to_string(I), 5,
                             0.1);
  }
  clock::time_point Start = clock::now();
  constexpr int Windows = 20;
  for (int I = 0; I < Windows; ++I) {
    Now += milliseconds(100);
    (void)admission::advanceShares(Shares, {20.0, {}}, {}, Now);
  }
  return secondsSince(Start) * 1e6 / Windows;
}

/// Costs per node that the verdict is based on. The bytes per second are the
/// maximum measured, the others are extrapolated to the design size.
struct design_costs {
  double MegaBytes = 0.0;
  double BytesPerSecond = 0.0;
  double CorePercent = 0.0;
};

/// Measures node processes for several sizes of the configuration.
void measureProcess(design_costs &Costs) {
  std::vector<sample> Memory;
  std::vector<sample> IdleCpu;
  std::vector<sample> RestartTimes;
  for (unsigned Entries : {1'000U, 5'000U, 20'000U}) {
    standins::fleet Fleet(singleServiceFleet(2, 1, false));
    (void)Fleet.awaitReady();
    for (std::uint64_t I = 0; I < Entries; ++I) {
      configuration::published_entry Entry = makeInstance(I);
      Fleet.Platform->publish(Entry.Key, Entry.Value);
    }
    (void)Fleet.awaitReady(milliseconds(60'000));
    std::this_thread::sleep_for(milliseconds(1'000));
    double SecondsBefore = cpuSeconds(Fleet.Nodes[0].Process);
    std::this_thread::sleep_for(milliseconds(4'000));
    double UsedSeconds = cpuSeconds(Fleet.Nodes[0].Process) - SecondsBefore;
    Memory.push_back({static_cast<double>(Entries),
                      residentBytes(Fleet.Nodes[0].Process) / 1e6});
    IdleCpu.push_back(
        {static_cast<double>(Entries), 100.0 * UsedSeconds / 4.0});
    Fleet.signalNode(1, SIGKILL);
    Fleet.awaitExit(1);
    clock::time_point Restart = clock::now();
    Fleet.startNode(1);
    (void)Fleet.awaitReady(milliseconds(60'000));
    RestartTimes.push_back(
        {static_cast<double>(Entries), secondsSince(Restart)});
  }
  // Counts instances, services, templates and the parameters of organisations.
  constexpr double DesignEntries = 40'000;
  Costs.MegaBytes =
      reportFit("memory of a node by entries", "MB", Memory, DesignEntries);
  Costs.CorePercent =
      reportFit("idle CPU by entries", "% of a core", IdleCpu, DesignEntries);
  (void)reportFit("restart time of a node by entries", "s", RestartTimes,
                  DesignEntries);
}

void measureFleets(design_costs &Costs) {
  std::vector<sample> Bytes;
  std::vector<sample> CorePercents;
  std::vector<sample> Calls;
  for (unsigned Nodes : {15U, 30U, 60U}) {
    standins::fleet Fleet(singleServiceFleet(Nodes, 3, false));
    (void)Fleet.awaitReady(milliseconds(40'000));
    steady_cost Cost = measureSteadyCost(Fleet, 5);
    auto Size = static_cast<double>(Nodes);
    Bytes.push_back({Size, Cost.BytesPerSecond});
    CorePercents.push_back({Size, Cost.CorePercent});
    Calls.push_back({Size, Cost.PlatformCallsPerSecond});
  }
  std::printf("B/s per node by nodes:");
  for (const sample &Sample : Bytes) {
    std::printf(" %.0f -> %.0f;", Sample.Size, Sample.Cost);
    Costs.BytesPerSecond = std::max(Costs.BytesPerSecond, Sample.Cost);
  }
  std::printf("\n%% of a core per node by nodes:");
  for (const sample &Sample : CorePercents) {
    std::printf(" %.0f -> %.3f;", Sample.Size, Sample.Cost);
  }
  std::printf("\nplatform calls/s by nodes:");
  for (const sample &Sample : Calls) {
    std::printf(" %.0f -> %.2f;", Sample.Size, Sample.Cost);
  }
  std::printf("\n");
}

void measureComponents() {
  std::vector<sample> Bytes;
  std::vector<sample> ApplyTimes;
  std::vector<sample> ListTimes;
  for (std::uint64_t Entries : {5'000U, 10'000U, 20'000U, 40'000U}) {
    store_cost Cost = measureStore(Entries);
    auto Size = static_cast<double>(Entries);
    Bytes.push_back({Size, Cost.Bytes / 1e6});
    ApplyTimes.push_back({Size, Cost.ApplyMicroseconds});
    ListTimes.push_back({Size, Cost.ListMilliseconds});
  }
  (void)reportFit("configuration store by entries", "MB", Bytes, 40'000);
  (void)reportFit("apply one entry, by entries", "us", ApplyTimes, 40'000);
  (void)reportFit("rebuild the list of nodes, by entries", "ms", ListTimes,
                  26'000);
  std::vector<sample> ExecutedIdSizes;
  std::vector<sample> FencedIdSizes;
  std::vector<sample> DecisionTimes;
  for (std::uint64_t Ids : {10'000U, 20'000U, 50'000U}) {
    auto Size = static_cast<double>(Ids);
    home_cost Run = measureHome(Ids, false);
    ExecutedIdSizes.push_back({Size, Run.Bytes / 1e6});
    DecisionTimes.push_back({Size, Run.DecideMicroseconds});
    FencedIdSizes.push_back({Size, measureHome(Ids, true).Bytes / 1e6});
  }
  (void)reportFit("executed ids with responses of 200 bytes", "MB",
                  ExecutedIdSizes, 50'000);
  (void)reportFit("fenced ids", "MB", FencedIdSizes, 250'000);
  (void)reportFit("one decision of a home node", "us", DecisionTimes, 50'000);
  std::vector<sample> ChoiceTimes;
  std::vector<sample> UpstreamTableSizes;
  for (unsigned Upstreams : {10U, 50U, 200U}) {
    double UsedBytes = 0.0;
    ChoiceTimes.push_back(measureChoice(Upstreams, UsedBytes));
    UpstreamTableSizes.push_back(
        {static_cast<double>(Upstreams), UsedBytes / 1e3});
  }
  (void)reportFit("choose one upstream, by upstreams", "us", ChoiceTimes, 10.4);
  (void)reportFit("upstream table by upstreams", "kB", UpstreamTableSizes,
                  1'000);
  std::vector<sample> Shares;
  for (unsigned Organisations : {10U, 100U, 1'000U}) {
    Shares.push_back(
        {static_cast<double>(Organisations), measureShares(Organisations)});
  }
  (void)reportFit("end of one share window, by organisations", "us", Shares,
                  1'000);
}

} // namespace

int benchSlopes() {
  design_costs Costs;
  measureComponents();
  measureProcess(Costs);
  measureFleets(Costs);
  return report("slopes", {{"MB per node at 40,000 entries", Costs.MegaBytes,
                            128.0, bound::AtMost},
                           {"% of a core idle at 40,000 entries",
                            Costs.CorePercent, 3.7, bound::AtMost},
                           {"maximum measured B/s per node",
                            Costs.BytesPerSecond, 9'000.0, bound::AtMost}});
}

} // namespace figplank::bench
