#include "testfleet.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <thread>

using namespace figplank;
using namespace figplank::node::tests;
using standins::fleet;
using standins::load_generator;
using standins::platform_mode;

namespace {

using std::chrono::milliseconds;

bool allHold(const fleet &Fleet, std::uint64_t Revision) {
  for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I) {
    nlohmann::json Status = Fleet.status(I);
    if (!Status.is_object() || Status["revision"] != Revision) {
      return false;
    }
  }
  return true;
}

} // namespace

TEST_GROUP(Configuration){};

TEST(Configuration, ChangeTakesEffectOnEveryNode) {
  fleet Fleet(ledgerFleet(6, milliseconds(1)));
  CHECK(Fleet.awaitReady());
  std::uint64_t Revision =
      Fleet.Platform->publish("parameters/gamma/price", "{}");
  CHECK(eventually([&]() { return allHold(Fleet, Revision); }));
  load_generator Callers(Fleet.entries());
  standins::load_stream Stream = priceStream();
  Stream.Organisation = "gamma";
  for (std::size_t I = 0; I < 6; ++I) {
    CHECK(Callers.sendOne(Stream, "", I).Whole);
  }
}

TEST(Configuration, InvalidChangeLeavesTheAcceptedOneAndIsShown) {
  fleet Fleet(ledgerFleet(3, milliseconds(1)));
  CHECK(Fleet.awaitReady());
  std::uint64_t Revision = Fleet.Platform->publish(
      "templates/price", R"({"service": "", "rank": 3, "extra": 1})");
  CHECK(eventually([&]() { return allHold(Fleet, Revision); }));
  for (std::size_t I = 0; I < 3; ++I) {
    nlohmann::json Refused = Fleet.status(I)["refused_entries"];
    LONGS_EQUAL(1, Refused.size());
    CHECK(Refused[0]["findings"].size() >= 4);
  }
  load_generator Callers(Fleet.entries());
  CHECK(Callers.sendOne(priceStream(), "", 0).Whole);
}

TEST(Configuration,
     ReplacedNodeTakesTheNewestFromAPeerWhileThePlatformIsStale) {
  fleet Fleet(ledgerFleet(3, milliseconds(1)));
  CHECK(Fleet.awaitReady());
  std::uint64_t Newest =
      Fleet.Platform->publish("parameters/gamma/price", "{}");
  CHECK(eventually([&]() { return allHold(Fleet, Newest); }));
  // The platform goes back in time: a fresh stand-in with fewer changes.
  Fleet.Platform->setMode(platform_mode::Down);
  Fleet.signalNode(0, SIGKILL);
  Fleet.awaitExit(0);
  Fleet.startNode(0);
  CHECK(eventually([&]() { return allHold(Fleet, Newest); }));
  CHECK(eventually([&]() { return Fleet.status(0)["ready"] == true; }));
}

TEST(Configuration, WholeFleetReplacedOneByOneKeepsItWithThePlatformDown) {
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

TEST(Configuration, CutZoneGoesOnAndTakesTheNewestOnHealing) {
  standins::fleet_spec Spec = ledgerFleet(3, milliseconds(1));
  Spec.Relays = true;
  fleet Fleet(Spec);
  CHECK(Fleet.awaitReady());
  std::uint64_t Before = Fleet.Platform->revision();
  Fleet.cutZone(3);
  std::uint64_t Newest =
      Fleet.Platform->publish("parameters/gamma/price", "{}");
  CHECK(eventually([&]() { return Fleet.status(0)["revision"] == Newest; }));
  CHECK(Fleet.status(2)["revision"] == Before);
  load_generator Callers(Fleet.entries());
  CHECK(Callers.sendOne(priceStream(), "", 2).Whole);
  Fleet.healZones();
  CHECK(eventually([&]() { return allHold(Fleet, Newest); }));
}

TEST(Configuration, LastNodeOfAZoneWithoutThePlatformHearsOfChangesInTime) {
  constexpr std::size_t Nodes = 10;
  standins::fleet_spec Spec = ledgerFleet(Nodes, milliseconds(1));
  Spec.Zones = 2;
  Spec.Relays = true;
  fleet Fleet(Spec);
  CHECK(Fleet.awaitReady());
  // Zone 1 holds every second node; all but one of them freeze.
  Fleet.Platform->block({"127.0.1."});
  std::size_t Last = 0;
  for (std::size_t I = 0; I < Nodes; ++I) {
    if (Fleet.Nodes[I].Zone != Fleet.Nodes[Last].Zone) {
      continue;
    }
    if (I != Last) {
      Fleet.signalNode(I, SIGSTOP);
    }
  }
  for (int Change = 0; Change < 8; ++Change) {
    std::uint64_t Newest = Fleet.Platform->publish("parameters/gamma/price",
                                                   Change % 2 == 0 ? "{}" : "");
    CHECK(eventually([&]() { return Fleet.status(Last)["revision"] == Newest; },
                     milliseconds(4'000)));
  }
  for (std::size_t I = 0; I < Nodes; ++I) {
    Fleet.signalNode(I, SIGCONT);
  }
}

TEST(Configuration, FrozenReaderDoesNotHoldChangesUp) {
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
  CHECK(eventually([&]() { return allHold(Fleet, Newest); }));
  CHECK(eventually([&]() { return Fleet.status(0)["view_stale"] == false; }));
}
