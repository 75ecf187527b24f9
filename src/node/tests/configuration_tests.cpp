#include "testfleet.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <set>
#include <thread>

using namespace figplank;
using namespace figplank::node::tests;
using standins::fleet;
using standins::load_generator;
using standins::platform_mode;

namespace {

using std::chrono::milliseconds;

/// Whether every node, but those in \p Except, reports \p Revision as its
/// highest one.
bool allHaveRevision(const fleet &Fleet, std::uint64_t Revision,
                     const std::set<std::size_t> &Except = {}) {
  for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I) {
    if (Except.contains(I)) {
      continue;
    }
    nlohmann::json Status = Fleet.status(I);
    if (!Status.is_object() || Status["revision"] != Revision) {
      return false;
    }
  }
  return true;
}

/// The nodes that read the platform now.
std::set<std::size_t> readingNodes(const fleet &Fleet) {
  std::set<std::size_t> Reading;
  for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I) {
    if (Fleet.status(I)["reading_platform"] == true) {
      Reading.insert(I);
    }
  }
  return Reading;
}

} // namespace

TEST_GROUP(Configuration){};

TEST(Configuration, ChangeTakesEffectOnEveryNode) {
  fleet Fleet(ledgerFleet(6, milliseconds(1)));
  CHECK(Fleet.awaitReady());
  std::uint64_t Revision =
      Fleet.Platform->publish("parameters/gamma/price", "{}");
  CHECK(eventually([&]() { return allHaveRevision(Fleet, Revision); }));
  load_generator Callers(Fleet.entries());
  standins::load_stream Stream = priceStream();
  Stream.Organisation = "gamma";
  for (std::size_t I = 0; I < 6; ++I) {
    CHECK(Callers.sendOne(Stream, "", I).Succeeded);
  }
}

TEST(Configuration, InvalidEntryIsReportedAndKeepsThePreviousOne) {
  fleet Fleet(ledgerFleet(3, milliseconds(1)));
  CHECK(Fleet.awaitReady());
  std::uint64_t Revision = Fleet.Platform->publish(
      "templates/price", R"({"service": "", "rank": 3, "extra": 1})");
  CHECK(eventually([&]() { return allHaveRevision(Fleet, Revision); }));
  for (std::size_t I = 0; I < 3; ++I) {
    nlohmann::json Refused = Fleet.status(I)["refused_entries"];
    LONGS_EQUAL(1, Refused.size());
    CHECK(Refused[0]["findings"].size() >= 4);
  }
  load_generator Callers(Fleet.entries());
  CHECK(Callers.sendOne(priceStream(), "", 0).Succeeded);
}

TEST(Configuration,
     ReplacedNodeFetchesTheNewestRevisionFromAPeerWhilePlatformIsDown) {
  fleet Fleet(ledgerFleet(3, milliseconds(1)));
  CHECK(Fleet.awaitReady());
  std::uint64_t Newest =
      Fleet.Platform->publish("parameters/gamma/price", "{}");
  CHECK(eventually([&]() { return allHaveRevision(Fleet, Newest); }));
  // Without the platform, the replaced node can only ask its peers.
  Fleet.Platform->setMode(platform_mode::Down);
  Fleet.signalNode(0, SIGKILL);
  Fleet.awaitExit(0);
  Fleet.startNode(0);
  CHECK(eventually([&]() { return allHaveRevision(Fleet, Newest); }));
  CHECK(eventually([&]() { return Fleet.status(0)["ready"] == true; }));
}

TEST(Configuration, RollingReplacementKeepsRevisionWhilePlatformIsDown) {
  fleet Fleet(ledgerFleet(3, milliseconds(1)));
  CHECK(Fleet.awaitReady());
  std::uint64_t Newest = Fleet.Platform->revision();
  Fleet.Platform->setMode(platform_mode::Down);
  for (std::size_t I = 0; I < 3; ++I) {
    Fleet.signalNode(I, SIGKILL);
    Fleet.awaitExit(I);
    Fleet.startNode(I);
    CHECK(eventually([&]() {
      nlohmann::json Status = Fleet.status(I);
      return Status.is_object() && Status["ready"] == true &&
             Status["revision"] == Newest;
    }));
  }
}

TEST(Configuration, PartitionedZoneServesAndCatchesUpAfterHealing) {
  standins::fleet_spec Spec = ledgerFleet(3, milliseconds(1));
  Spec.Relays = true;
  fleet Fleet(Spec);
  CHECK(Fleet.awaitReady());
  std::uint64_t RevisionBefore = Fleet.Platform->revision();
  Fleet.cutZone(3);
  std::uint64_t Newest =
      Fleet.Platform->publish("parameters/gamma/price", "{}");
  CHECK(eventually([&]() { return Fleet.status(0)["revision"] == Newest; }));
  CHECK(Fleet.status(2)["revision"] == RevisionBefore);
  load_generator Callers(Fleet.entries());
  CHECK(Callers.sendOne(priceStream(), "", 2).Succeeded);
  Fleet.healZones();
  CHECK(eventually([&]() { return allHaveRevision(Fleet, Newest); }));
}

TEST(Configuration, LastLiveNodeOfAZoneWithoutPlatformReceivesChanges) {
  constexpr std::size_t Nodes = 10;
  standins::fleet_spec Spec = ledgerFleet(Nodes, milliseconds(1));
  Spec.Zones = 2;
  Spec.Relays = true;
  fleet Fleet(Spec);
  CHECK(Fleet.awaitReady());
  // Zone 1 has every second node. All of them but one are stopped, and the
  // platform is unreachable from the zone.
  Fleet.Platform->block({"127.0.1."});
  std::size_t LiveNode = 0;
  for (std::size_t I = 0; I < Nodes; ++I) {
    if (Fleet.Nodes[I].Zone != Fleet.Nodes[LiveNode].Zone) {
      continue;
    }
    if (I != LiveNode) {
      Fleet.signalNode(I, SIGSTOP);
    }
  }
  for (int Change = 0; Change < 8; ++Change) {
    std::uint64_t Newest = Fleet.Platform->publish("parameters/gamma/price",
                                                   Change % 2 == 0 ? "{}" : "");
    CHECK(eventually(
        [&]() { return Fleet.status(LiveNode)["revision"] == Newest; },
        milliseconds(4'000)));
  }
  for (std::size_t I = 0; I < Nodes; ++I) {
    Fleet.signalNode(I, SIGCONT);
  }
}

TEST(Configuration, StoppedReaderDoesNotDelayChanges) {
  fleet Fleet(ledgerFleet(6, milliseconds(1)));
  CHECK(Fleet.awaitReady());
  Fleet.signalNode(0, SIGSTOP);
  std::uint64_t Newest =
      Fleet.Platform->publish("parameters/gamma/price", "{}");
  for (std::size_t I = 1; I < 6; ++I) {
    CHECK(eventually([&]() { return Fleet.status(I)["revision"] == Newest; }));
  }
  std::this_thread::sleep_for(milliseconds(1'600));
  Fleet.signalNode(0, SIGCONT);
  CHECK(eventually([&]() { return allHaveRevision(Fleet, Newest); }));
  CHECK(eventually([&]() { return Fleet.status(0)["view_stale"] == false; }));
}

// Guards against nodes that miss a change because the connections to their
// peers, or those of their peers to them, are silent.
TEST(Configuration, ChangeIsInForceInTimeAfterPeerConnectionsWentSilent) {
  standins::fleet_spec Spec = ledgerFleet(8, milliseconds(1));
  Spec.Zones = 1;
  Spec.Relays = true;
  fleet Fleet(Spec);
  CHECK(Fleet.awaitReady());
  for (int Round = 0; Round < 4; ++Round) {
    for (standins::fleet_node &Node : Fleet.Nodes) {
      Node.Relay->silence();
    }
    // The platform's `stableWindowMs` is 3 s. A change of 1.2 s after the
    // silence is due 0.2 s after that.
    std::this_thread::sleep_for(milliseconds(1'200));
    std::uint64_t Newest = Fleet.Platform->publish("parameters/gamma/price",
                                                   Round % 2 == 0 ? "{}" : "");
    CHECK(eventually([&]() { return allHaveRevision(Fleet, Newest); },
                     milliseconds(2'000)));
  }
}

// Guards against changes that no live node reads, as only the selected readers
// do and all of them have stopped (CONFIG).
TEST(Configuration, ChangeIsInForceInTimeWhileAllReadersAreStopped) {
  standins::fleet_spec Spec = ledgerFleet(8, milliseconds(1));
  Spec.Zones = 1;
  fleet Fleet(Spec);
  CHECK(Fleet.awaitReady());
  CHECK(eventually([&]() { return readingNodes(Fleet).size() == 3; }));
  // The last watch of a node that read only at its start may still wait.
  std::this_thread::sleep_for(milliseconds(2'500));
  std::set<std::size_t> Stopped = readingNodes(Fleet);
  for (std::size_t I : Stopped) {
    Fleet.signalNode(I, SIGSTOP);
  }
  std::uint64_t Newest =
      Fleet.Platform->publish("parameters/gamma/price", "{}");
  CHECK(eventually([&]() { return allHaveRevision(Fleet, Newest, Stopped); },
                   milliseconds(2'000)));
  for (std::size_t I : Stopped) {
    Fleet.signalNode(I, SIGCONT);
  }
  // Once the selected readers are back, the others stop reading.
  CHECK(eventually([&]() { return readingNodes(Fleet).size() == 3; }));
}
