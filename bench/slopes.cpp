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

/// A size and what was measured at it.
struct sample {
  double Size = 0.0;
  double Cost = 0.0;
};

struct line_fit {
  double Slope = 0.0;
  double Intercept = 0.0;
};

/// Least squares through \p Samples.
line_fit fitLine(const std::vector<sample> &Samples) {
  double N = static_cast<double>(Samples.size());
  double X = 0.0;
  double Y = 0.0;
  double XX = 0.0;
  double XY = 0.0;
  for (const sample &Sample : Samples) {
    X += Sample.Size;
    Y += Sample.Cost;
    XX += Sample.Size * Sample.Size;
    XY += Sample.Size * Sample.Cost;
  }
  double Slope = (N * XY - X * Y) / (N * XX - X * X);
  return {Slope, (Y - Slope * X) / N};
}

double reportFit(const char *What, const char *Unit,
                 const std::vector<sample> &Samples, double Design) {
  std::printf("%s:", What);
  for (const sample &Sample : Samples) {
    std::printf(" %.0f -> %.4g;", Sample.Size, Sample.Cost);
  }
  line_fit Fit = fitLine(Samples);
  double At = Fit.Intercept + Fit.Slope * Design;
  std::printf(" fit %.4g + %.4g x; at %.0f: %.4g %s\n", Fit.Intercept,
              Fit.Slope, Design, At, Unit);
  std::fflush(stdout);
  return At;
}

double usedBytes() { return static_cast<double>(mallinfo2().uordblks); }

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
  double Before = usedBytes();
  configuration::store Store;
  clock::time_point Start = clock::now();
  for (std::uint64_t I = 0; I < Entries; ++I) {
    configuration::applyEntry(Store, makeInstance(I));
  }
  Cost.ApplyMicroseconds =
      secondsSince(Start) * 1e6 / static_cast<double>(Entries);
  Cost.Bytes = usedBytes() - Before;
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
  double Before = usedBytes();
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
  Cost.Bytes = usedBytes() - Before;
  return Cost;
}

/// Time of one choice among the upstreams of a service, and the memory of
/// what is known of each.
sample measureChoice(unsigned Upstreams, double &Bytes) {
  configuration::store Store;
  for (std::uint64_t I = 0; I < Upstreams; ++I) {
    configuration::published_entry Entry = makeInstance(I);
    Entry.Key = "instances/one/node-" + std::to_string(I);
    configuration::applyEntry(Store, Entry);
  }
  double Before = usedBytes();
  routing::upstream_table Table;
  framework::monotonic_time Now{};
  for (const std::string &Address : membership::listNodes(Store.Catalog, "")) {
    routing::recordStart(Table, Address);
  }
  Bytes = usedBytes() - Before;
  constexpr int Choices = 1'000;
  clock::time_point Start = clock::now();
  for (int I = 0; I < Choices; ++I) {
    auto Candidates = routing::listCandidates(Store.Catalog, Table, "one", Now);
    (void)routing::chooseUpstream(Table, Candidates, "z9", {}, {0.3, 0.7}, Now);
  }
  return {static_cast<double>(Upstreams), secondsSince(Start) * 1e6 / Choices};
}

/// Time of one window's end with many organisations.
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

struct limits {
  double MegaBytes = 0.0;
  double BytesPerSecond = 0.0;
  double CorePercent = 0.0;
};

/// A real node beside a growing copy of the configuration.
void measureProcess(limits &Design) {
  std::vector<sample> Memory;
  std::vector<sample> Processor;
  std::vector<sample> Start;
  for (unsigned Entries : {1'000U, 5'000U, 20'000U}) {
    standins::fleet Fleet(singleServiceFleet(2, 1, false));
    (void)Fleet.awaitReady();
    for (std::uint64_t I = 0; I < Entries; ++I) {
      configuration::published_entry Entry = makeInstance(I);
      Fleet.Platform->publish(Entry.Key, Entry.Value);
    }
    (void)Fleet.awaitReady(milliseconds(60'000));
    std::this_thread::sleep_for(milliseconds(1'000));
    double Before = cpuSeconds(Fleet.Nodes[0].Process);
    std::this_thread::sleep_for(milliseconds(4'000));
    double Used = cpuSeconds(Fleet.Nodes[0].Process) - Before;
    Memory.push_back({static_cast<double>(Entries),
                      residentBytes(Fleet.Nodes[0].Process) / 1e6});
    Processor.push_back({static_cast<double>(Entries), 100.0 * Used / 4.0});
    Fleet.signalNode(1, SIGKILL);
    Fleet.awaitExit(1);
    clock::time_point Restart = clock::now();
    Fleet.startNode(1);
    (void)Fleet.awaitReady(milliseconds(60'000));
    Start.push_back({static_cast<double>(Entries), secondsSince(Restart)});
  }
  // Instances, services, templates and the parameters of organisations.
  constexpr double DesignEntries = 40'000;
  Design.MegaBytes =
      reportFit("memory of a node by entries", "MB", Memory, DesignEntries);
  Design.CorePercent = reportFit("idle processor by entries", "% of a core",
                                 Processor, DesignEntries);
  (void)reportFit("start of a replaced node by entries", "s", Start,
                  DesignEntries);
}

void measureFleets(limits &Design) {
  std::vector<sample> Bytes;
  std::vector<sample> Processor;
  std::vector<sample> Calls;
  for (unsigned Nodes : {15U, 30U, 60U}) {
    standins::fleet Fleet(singleServiceFleet(Nodes, 3, false));
    (void)Fleet.awaitReady(milliseconds(40'000));
    steady_cost Cost = measureSteadyCost(Fleet, 5);
    auto Size = static_cast<double>(Nodes);
    Bytes.push_back({Size, Cost.BytesPerSecond});
    Processor.push_back({Size, Cost.CorePercent});
    Calls.push_back({Size, Cost.PlatformCallsPerSecond});
  }
  std::printf("B/s a node by nodes:");
  for (const sample &Sample : Bytes) {
    std::printf(" %.0f -> %.0f;", Sample.Size, Sample.Cost);
    Design.BytesPerSecond = std::max(Design.BytesPerSecond, Sample.Cost);
  }
  std::printf("\n%% of a core a node by nodes:");
  for (const sample &Sample : Processor) {
    std::printf(" %.0f -> %.3f;", Sample.Size, Sample.Cost);
  }
  std::printf("\nplatform calls/s by nodes:");
  for (const sample &Sample : Calls) {
    std::printf(" %.0f -> %.2f;", Sample.Size, Sample.Cost);
  }
  std::printf("\n");
}

void measureParts() {
  std::vector<sample> Bytes;
  std::vector<sample> Apply;
  std::vector<sample> List;
  for (std::uint64_t Entries : {5'000U, 10'000U, 20'000U, 40'000U}) {
    store_cost Cost = measureStore(Entries);
    auto Size = static_cast<double>(Entries);
    Bytes.push_back({Size, Cost.Bytes / 1e6});
    Apply.push_back({Size, Cost.ApplyMicroseconds});
    List.push_back({Size, Cost.ListMilliseconds});
  }
  (void)reportFit("store by entries", "MB", Bytes, 40'000);
  (void)reportFit("one entry applied, by entries", "us", Apply, 40'000);
  (void)reportFit("list of nodes made anew, by entries", "ms", List, 26'000);
  std::vector<sample> Runs;
  std::vector<sample> Fences;
  std::vector<sample> Decide;
  for (std::uint64_t Ids : {10'000U, 20'000U, 50'000U}) {
    auto Size = static_cast<double>(Ids);
    home_cost Run = measureHome(Ids, false);
    Runs.push_back({Size, Run.Bytes / 1e6});
    Decide.push_back({Size, Run.DecideMicroseconds});
    Fences.push_back({Size, measureHome(Ids, true).Bytes / 1e6});
  }
  (void)reportFit("ids that ran, answers of 200 bytes", "MB", Runs, 50'000);
  (void)reportFit("ids that were fenced", "MB", Fences, 250'000);
  (void)reportFit("one decision of a home", "us", Decide, 50'000);
  std::vector<sample> Choice;
  std::vector<sample> Views;
  for (unsigned Upstreams : {10U, 50U, 200U}) {
    double Used = 0.0;
    Choice.push_back(measureChoice(Upstreams, Used));
    Views.push_back({static_cast<double>(Upstreams), Used / 1e3});
  }
  (void)reportFit("one choice of an upstream, by upstreams", "us", Choice,
                  10.4);
  (void)reportFit("views of upstreams", "kB", Views, 1'000);
  std::vector<sample> Shares;
  for (unsigned Organisations : {10U, 100U, 1'000U}) {
    Shares.push_back(
        {static_cast<double>(Organisations), measureShares(Organisations)});
  }
  (void)reportFit("one window of the shares, by organisations", "us", Shares,
                  1'000);
}

} // namespace

int benchSlopes() {
  limits Design;
  measureParts();
  measureProcess(Design);
  measureFleets(Design);
  return report("slopes", {{"MB a node at 40,000 entries", Design.MegaBytes,
                            128.0, bound::AtMost},
                           {"% of a core idle at 40,000 entries",
                            Design.CorePercent, 3.7, bound::AtMost},
                           {"B/s a node, largest measured",
                            Design.BytesPerSecond, 9'000.0, bound::AtMost}});
}

} // namespace figplank::bench
