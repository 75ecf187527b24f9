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

/// Polls one node's revision, counting steps back.
class revision_poll {
public:
  explicit revision_poll(const std::string &Admin) : Client("http://" + Admin) {
    Client.set_keep_alive(true);
    Client.set_tcp_nodelay(true);
    Client.set_read_timeout(2);
  }

  /// Seconds after \p Since at which the node held \p Revision; negative if
  /// it did not within \p Limit.
  double await(std::uint64_t Revision, clock::time_point Since, double Limit) {
    while (true) {
      double Elapsed =
          std::chrono::duration<double>(clock::now() - Since).count();
      auto Result = Client.Get("/status");
      if (Result && Result->status == 200) {
        auto Status = nlohmann::json::parse(Result->body, nullptr, false);
        std::uint64_t Held = Status.value("revision", std::uint64_t{0});
        // A node that was replaced holds nothing until it is ready to serve.
        bool Ready = Status.value("ready", false);
        Reverts += Ready && Held < Highest ? 1 : 0;
        Highest = std::max(Highest, Held);
      }
      if (Highest >= Revision) {
        return Elapsed;
      }
      if (Elapsed > Limit) {
        return -1.0;
      }
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  int Reverts = 0;

private:
  httplib::Client Client;
  std::uint64_t Highest = 0;
};

/// Polls of a whole fleet, kept between changes so that reverts are seen.
struct fleet_poll {
  explicit fleet_poll(const fleet &Fleet) {
    for (const standins::fleet_node &Node : Fleet.Nodes) {
      Polls.push_back(std::make_unique<revision_poll>(Node.AdminAddress));
    }
  }

  /// Seconds until the last node but those in \p Skip holds \p Revision, or
  /// \p Limit if one does not.
  double awaitAll(std::uint64_t Revision, const std::set<std::size_t> &Skip,
                  double Limit = 20.0) {
    clock::time_point Since = clock::now();
    std::vector<double> Seconds(Polls.size(), 0.0);
    std::vector<std::thread> Threads;
    for (std::size_t I = 0; I < Polls.size(); ++I) {
      if (Skip.count(I) == 0) {
        Threads.emplace_back([&, I]() {
          double Took = Polls[I]->await(Revision, Since, Limit);
          Seconds[I] = Took < 0.0 ? Limit : Took;
        });
      }
    }
    for (std::thread &Thread : Threads) {
      Thread.join();
    }
    return *std::max_element(Seconds.begin(), Seconds.end());
  }

  int reverts() const {
    int Total = 0;
    for (const auto &Poll : Polls) {
      Total += Poll->Reverts;
    }
    return Total;
  }

  std::vector<std::unique_ptr<revision_poll>> Polls;
};

std::vector<std::size_t> readersOf(const fleet &Fleet) {
  std::vector<std::size_t> Readers;
  for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I) {
    nlohmann::json Status = Fleet.status(I);
    if (Status.is_object() && Status["reading_platform"] == true) {
      Readers.push_back(I);
    }
  }
  return Readers;
}

struct change_times {
  std::vector<double> Seconds;

  void add(const char *Condition, double Took) {
    std::printf("  %-28s %.3f s\n", Condition, Took);
    std::fflush(stdout);
    Seconds.push_back(Took);
  }
};

void timeReaderFailures(fleet &Fleet, fleet_poll &Poll, change_times &Times) {
  std::vector<std::size_t> Readers = readersOf(Fleet);
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
    Times.add("half of the readers frozen", Poll.awaitAll(Revision, Frozen));
  }
  for (std::size_t Index : Frozen) {
    Fleet.signalNode(Index, SIGCONT);
  }
  Times.add("readers thawed", Poll.awaitAll(Fleet.Platform->revision(), {}));
  Readers = readersOf(Fleet);
  std::set<std::size_t> Killed(Readers.begin(), Readers.begin() + 2);
  for (std::size_t Index : Killed) {
    Fleet.signalNode(Index, SIGKILL);
  }
  std::uint64_t Revision =
      Fleet.Platform->publish("templates/t", makeTemplateValue(200));
  Times.add("two readers killed", Poll.awaitAll(Revision, Killed));
  for (std::size_t Index : Killed) {
    Fleet.awaitExit(Index);
    Fleet.startNode(Index);
  }
  Times.add("killed nodes replaced", Poll.awaitAll(Revision, {}));
}

} // namespace

int benchConfig() {
  change_times Times;
  steady_cost Cost;
  int Reverts = 0;
  double Stale = 0.0;
  {
    fleet Fleet(singleServiceFleet(NodeCount, ZoneCount, false));
    if (!Fleet.awaitReady(milliseconds(40'000))) {
      std::printf("the fleet did not become ready\n");
      return 1;
    }
    Cost = measureSteadyCost(Fleet, 8);
    fleet_poll Poll(Fleet);
    for (int I = 0; I < 20; ++I) {
      std::uint64_t Revision =
          Fleet.Platform->publish("templates/t", makeTemplateValue(I));
      Times.add("quiet", Poll.awaitAll(Revision, {}));
    }
    timeReaderFailures(Fleet, Poll, Times);
    // A stale platform holds a change back; none goes back because of it.
    Fleet.Platform->setMode(standins::platform_mode::Stale);
    std::uint64_t Held =
        Fleet.Platform->publish("templates/t", makeTemplateValue(300));
    Fleet.signalNode(0, SIGKILL);
    Fleet.awaitExit(0);
    Fleet.startNode(0);
    std::this_thread::sleep_for(milliseconds(3'000));
    Fleet.Platform->setMode(standins::platform_mode::Up);
    Stale = Poll.awaitAll(Held, {});
    Times.add("platform no longer stale", Stale);
    Reverts += Poll.reverts();
  }
  double Healed = 0.0;
  {
    fleet Fleet(singleServiceFleet(NodeCount, ZoneCount, true));
    if (!Fleet.awaitReady(milliseconds(40'000))) {
      std::printf("the fleet did not become ready\n");
      return 1;
    }
    fleet_poll Poll(Fleet);
    (void)Poll.awaitAll(Fleet.Platform->revision(), {});
    Fleet.cutZone(ZoneCount);
    std::set<std::size_t> Cut;
    for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I) {
      if (Fleet.Nodes[I].Zone == ZoneCount) {
        Cut.insert(I);
      }
    }
    std::uint64_t Revision =
        Fleet.Platform->publish("templates/t", makeTemplateValue(1));
    Times.add("other zones while one is cut", Poll.awaitAll(Revision, Cut));
    std::this_thread::sleep_for(milliseconds(3'000));
    Fleet.healZones();
    Healed = Poll.awaitAll(Revision, {});
    Times.add("cut zone after healing", Healed);
    Reverts += Poll.reverts();
  }
  std::printf("  steady: %.2f %% of a core, %.0f B/s, %.1f MB a node; platform "
              "%.2f calls/s\n",
              Cost.CorePercent, Cost.BytesPerSecond, Cost.MegaBytes,
              Cost.PlatformCallsPerSecond);
  std::printf("  p50 %.3f s\n", standins::percentile(Times.Seconds, 0.5));
  double Longest =
      *std::max_element(Times.Seconds.begin(), Times.Seconds.end());
  return report("config",
                {{"longest time in force, s", Longest, 4.0, bound::AtMost},
                 {"reverts", static_cast<double>(Reverts), 0.0, bound::AtMost},
                 {"B/s a node", Cost.BytesPerSecond, 9'000.0, bound::AtMost},
                 {"% of a core", Cost.CorePercent, 3.7, bound::AtMost},
                 {"MB a node", Cost.MegaBytes, 128.0, bound::AtMost}});
}

} // namespace figplank::bench
