#include "bench/config.h"

#include "bench/report.h"
#include "bench/steady.h"
#include "standins/fleet.h"
#include "standins/loadgenerator.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <httplib.h>
#include <set>
#include <thread>

namespace figplank::bench {
namespace {

using standins::fleet;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

constexpr unsigned NodeCount = 60;
constexpr unsigned ZoneCount = 3;

/// Polls the revision of one node and counts how often it decreases.
class revision_poller {
public:
  explicit revision_poller(const std::string &Admin)
      : Client("http://" + Admin) {
    Client.set_keep_alive(true);
    Client.set_tcp_nodelay(true);
    Client.set_read_timeout(2);
  }

  /// Returns the seconds from \p Since until the node has \p Revision, or a
  /// negative number if that takes more than \p TimeoutSeconds.
  double awaitRevision(std::uint64_t Revision, clock::time_point Since,
                       double TimeoutSeconds) {
    while (true) {
      double Elapsed =
          std::chrono::duration<double>(clock::now() - Since).count();
      auto Result = Client.Get("/status");
      if (Result && Result->status == 200) {
        auto Status = nlohmann::json::parse(Result->body, nullptr, false);
        std::uint64_t NodeRevision = Status.value("revision", std::uint64_t{0});
        // A restarted node has no configuration until it is ready; that is not
        // a decrease.
        bool Ready = Status.value("ready", false);
        RevisionDecreases += Ready && NodeRevision < HighestRevision ? 1 : 0;
        HighestRevision = std::max(HighestRevision, NodeRevision);
      }
      if (HighestRevision >= Revision) {
        return Elapsed;
      }
      if (Elapsed > TimeoutSeconds) {
        return -1.0;
      }
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  int RevisionDecreases = 0;

private:
  httplib::Client Client;
  std::uint64_t HighestRevision = 0;
};

/// Pollers of all nodes of a fleet. They are kept from one change to the next,
/// so that a decrease of a revision between changes is counted too.
struct fleet_poller {
  explicit fleet_poller(const fleet &Fleet) {
    for (const standins::fleet_node &Node : Fleet.Nodes) {
      Pollers.push_back(std::make_unique<revision_poller>(Node.AdminAddress));
    }
  }

  /// Returns the seconds until all nodes except \p SkippedNodes have
  /// \p Revision, or \p TimeoutSeconds if one of them does not get it in time.
  double awaitAll(std::uint64_t Revision,
                  const std::set<std::size_t> &SkippedNodes,
                  double TimeoutSeconds = 20.0) {
    clock::time_point Since = clock::now();
    std::vector<double> Seconds(Pollers.size(), 0.0);
    std::vector<std::thread> Threads;
    for (std::size_t I = 0; I < Pollers.size(); ++I) {
      if (SkippedNodes.count(I) == 0) {
        Threads.emplace_back([&, I]() {
          double SecondsTaken =
              Pollers[I]->awaitRevision(Revision, Since, TimeoutSeconds);
          Seconds[I] = SecondsTaken < 0.0 ? TimeoutSeconds : SecondsTaken;
        });
      }
    }
    for (std::thread &Thread : Threads) {
      Thread.join();
    }
    return *std::max_element(Seconds.begin(), Seconds.end());
  }

  int countRevisionDecreases() const {
    int Total = 0;
    for (const auto &Poller : Pollers) {
      Total += Poller->RevisionDecreases;
    }
    return Total;
  }

  std::vector<std::unique_ptr<revision_poller>> Pollers;
};

std::vector<std::size_t> findReaders(const fleet &Fleet) {
  std::vector<std::size_t> Readers;
  for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I) {
    nlohmann::json Status = Fleet.status(I);
    if (Status.is_object() && Status["reading_platform"] == true) {
      Readers.push_back(I);
    }
  }
  return Readers;
}

struct propagation_times {
  std::vector<double> Seconds;

  void add(const char *Condition, double SecondsTaken) {
    std::printf("  %-28s %.3f s\n", Condition, SecondsTaken);
    std::fflush(stdout);
    Seconds.push_back(SecondsTaken);
  }
};

void measureReaderFailures(fleet &Fleet, fleet_poller &Poller,
                           propagation_times &Times) {
  std::vector<std::size_t> Readers = findReaders(Fleet);
  std::printf("  %zu of %u nodes read the platform\n", Readers.size(),
              NodeCount);
  std::set<std::size_t> Frozen;
  for (std::size_t I = 0; I < Readers.size() / 2; ++I) {
    Fleet.signalNode(Readers[I], SIGSTOP);
    Frozen.insert(Readers[I]);
  }
  for (int I = 0; I < 3; ++I) {
    std::uint64_t Revision =
        Fleet.Platform->publish("templates/t", makeTemplateValue(100 + I));
    Times.add("half of the readers frozen", Poller.awaitAll(Revision, Frozen));
  }
  for (std::size_t Index : Frozen) {
    Fleet.signalNode(Index, SIGCONT);
  }
  Times.add("frozen readers resumed",
            Poller.awaitAll(Fleet.Platform->revision(), {}));
  Readers = findReaders(Fleet);
  std::set<std::size_t> Killed(Readers.begin(), Readers.begin() + 2);
  for (std::size_t Index : Killed) {
    Fleet.signalNode(Index, SIGKILL);
  }
  std::uint64_t Revision =
      Fleet.Platform->publish("templates/t", makeTemplateValue(200));
  Times.add("two readers killed", Poller.awaitAll(Revision, Killed));
  for (std::size_t Index : Killed) {
    Fleet.awaitExit(Index);
    Fleet.startNode(Index);
  }
  Times.add("killed nodes restarted", Poller.awaitAll(Revision, {}));
}

} // namespace

int benchConfig() {
  propagation_times Times;
  steady_cost Cost;
  int RevisionDecreases = 0;
  double StaleSeconds = 0.0;
  {
    fleet Fleet(singleServiceFleet(NodeCount, ZoneCount, false));
    if (!Fleet.awaitReady(milliseconds(40'000))) {
      std::printf("the fleet did not become ready\n");
      return 1;
    }
    Cost = measureSteadyCost(Fleet, 8);
    fleet_poller Poller(Fleet);
    for (int I = 0; I < 20; ++I) {
      std::uint64_t Revision =
          Fleet.Platform->publish("templates/t", makeTemplateValue(I));
      Times.add("quiet", Poller.awaitAll(Revision, {}));
    }
    measureReaderFailures(Fleet, Poller, Times);
    // A stale platform delays a change. No node may return to an older revision
    // because of it.
    Fleet.Platform->setMode(standins::platform_mode::Stale);
    std::uint64_t DelayedRevision =
        Fleet.Platform->publish("templates/t", makeTemplateValue(300));
    Fleet.signalNode(0, SIGKILL);
    Fleet.awaitExit(0);
    Fleet.startNode(0);
    std::this_thread::sleep_for(milliseconds(3'000));
    Fleet.Platform->setMode(standins::platform_mode::Up);
    StaleSeconds = Poller.awaitAll(DelayedRevision, {});
    Times.add("platform no longer stale", StaleSeconds);
    RevisionDecreases += Poller.countRevisionDecreases();
  }
  double HealedSeconds = 0.0;
  {
    fleet Fleet(singleServiceFleet(NodeCount, ZoneCount, true));
    if (!Fleet.awaitReady(milliseconds(40'000))) {
      std::printf("the fleet did not become ready\n");
      return 1;
    }
    fleet_poller Poller(Fleet);
    (void)Poller.awaitAll(Fleet.Platform->revision(), {});
    Fleet.cutZone(ZoneCount);
    std::set<std::size_t> IsolatedNodes;
    for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I) {
      if (Fleet.Nodes[I].Zone == ZoneCount) {
        IsolatedNodes.insert(I);
      }
    }
    std::uint64_t Revision =
        Fleet.Platform->publish("templates/t", makeTemplateValue(1));
    Times.add("other zones, one zone cut off",
              Poller.awaitAll(Revision, IsolatedNodes));
    std::this_thread::sleep_for(milliseconds(3'000));
    Fleet.healZones();
    HealedSeconds = Poller.awaitAll(Revision, {});
    Times.add("zone reconnected", HealedSeconds);
    RevisionDecreases += Poller.countRevisionDecreases();
  }
  std::printf(
      "  steady: %.2f %% of a core, %.0f B/s, %.1f MB per node; platform "
      "%.2f calls/s\n",
      Cost.CorePercent, Cost.BytesPerSecond, Cost.MegaBytes,
      Cost.PlatformCallsPerSecond);
  std::printf("  p50 %.3f s\n", standins::percentile(Times.Seconds, 0.5));
  double Longest =
      *std::max_element(Times.Seconds.begin(), Times.Seconds.end());
  return report(
      "config",
      {{"longest time until in effect, s", Longest, 4.0, bound::AtMost},
       {"revision decreases", static_cast<double>(RevisionDecreases), 0.0,
        bound::AtMost},
       {"B/s per node", Cost.BytesPerSecond, 9'000.0, bound::AtMost},
       {"% of a core", Cost.CorePercent, 3.7, bound::AtMost},
       {"MB per node", Cost.MegaBytes, 128.0, bound::AtMost}});
}

} // namespace figplank::bench
