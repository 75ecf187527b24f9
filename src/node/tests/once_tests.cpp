#include "testfleet.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <thread>

using namespace figplank;
using namespace figplank::node::tests;
using standins::fleet;
using standins::load_generator;
using standins::request_result;

namespace {

using std::chrono::milliseconds;

/// Sends a request from a separate thread, so that the test can inject faults
/// during its run.
struct background_call {
  background_call(load_generator &Callers, const standins::load_stream &Stream,
                  const std::string &Key, std::size_t Entry)
      : Thread([=, &Callers, this]() {
          Result = Callers.sendOne(Stream, Key, Entry);
        }) {}
  ~background_call() {
    if (Thread.joinable()) {
      Thread.join();
    }
  }

  request_result await() {
    Thread.join();
    return Result;
  }

  request_result Result;
  std::thread Thread;
};

} // namespace

TEST_GROUP(Once){};

TEST(Once, DuplicatesSentToEveryNodeRunOnce) {
  fleet Fleet(ledgerFleet(3, milliseconds(50)));
  CHECK(awaitServing(Fleet));
  load_generator Callers(Fleet.entries());
  std::string Key = newKey();
  background_call First(Callers, chargeStream(), Key, 0);
  background_call Second(Callers, chargeStream(), Key, 1);
  background_call Third(Callers, chargeStream(), Key, 2);
  CHECK(First.await().Succeeded);
  CHECK(Second.await().Succeeded);
  CHECK(Third.await().Succeeded);
  CHECK(Callers.sendOne(chargeStream(), Key, 1).Succeeded);
  LONGS_EQUAL(1, countStartedRuns(Fleet, Key));
}

TEST(Once, OutcomeStaysUnknownAfterHomeIsKilledDuringRun) {
  fleet Fleet(ledgerFleet(3, milliseconds(1'000)));
  CHECK(awaitServing(Fleet));
  std::string Key = keyWithHome(Fleet, "ledger", 0);
  load_generator Callers(Fleet.entries());
  background_call Call(Callers, chargeStream(), Key, 1);
  CHECK(eventually([&]() { return countStartedRuns(Fleet, Key) == 1; }));
  Fleet.signalNode(0, SIGKILL);
  Fleet.awaitExit(0);
  STRCMP_EQUAL("unknown", Call.await().Outcome.c_str());
  Fleet.startNode(0);
  CHECK(awaitServing(Fleet));
  request_result Repeated = Callers.sendOne(chargeStream(), Key, 2);
  STRCMP_EQUAL("unknown", Repeated.Outcome.c_str());
  STRCMP_EQUAL("id_before_start", Repeated.Reason.c_str());
  LONGS_EQUAL(1, countStartedRuns(Fleet, Key));
  CHECK(Callers.sendOne(chargeStream(), keyWithHome(Fleet, "ledger", 0), 2)
            .Succeeded);
}

TEST(Once, RequestIsNotRunAgainAfterBackendCrashDuringRun) {
  fleet Fleet(ledgerFleet(3, milliseconds(500)));
  CHECK(awaitServing(Fleet));
  std::string Key = keyWithHome(Fleet, "ledger", 0);
  load_generator Callers(Fleet.entries());
  background_call Call(Callers, chargeStream(), Key, 1);
  CHECK(eventually([&]() { return countStartedRuns(Fleet, Key) == 1; }));
  Fleet.Nodes[0].Backend->crash();
  STRCMP_EQUAL("unknown", Call.await().Outcome.c_str());
  Fleet.Nodes[0].Backend->restart();
  STRCMP_EQUAL("unknown",
               Callers.sendOne(chargeStream(), Key, 2).Outcome.c_str());
  LONGS_EQUAL(1, countStartedRuns(Fleet, Key));
}

TEST(Once, RequestStaysNotRunAfterBackendWasUnreachable) {
  fleet Fleet(ledgerFleet(3, milliseconds(5)));
  CHECK(awaitServing(Fleet));
  std::string Key = keyWithHome(Fleet, "ledger", 0);
  load_generator Callers(Fleet.entries());
  Fleet.Nodes[0].Backend->crash();
  request_result Refused = Callers.sendOne(chargeStream(), Key, 1);
  STRCMP_EQUAL("not_run", Refused.Outcome.c_str());
  STRCMP_EQUAL("backend_unreachable", Refused.Reason.c_str());
  Fleet.Nodes[0].Backend->restart();
  STRCMP_EQUAL("not_run",
               Callers.sendOne(chargeStream(), Key, 2).Outcome.c_str());
  LONGS_EQUAL(0, countStartedRuns(Fleet, Key));
}

TEST(Once, RequestStaysNotRunAfterBackendShedIt) {
  fleet Fleet(ledgerFleet(2, milliseconds(5)));
  CHECK(awaitServing(Fleet));
  standins::backend_faults Faults;
  Faults.ShedAll = true;
  std::string Key = keyWithHome(Fleet, "ledger", 0);
  Fleet.Nodes[0].Backend->setFaults(Faults);
  load_generator Callers(Fleet.entries());
  STRCMP_EQUAL("backend_shed",
               Callers.sendOne(chargeStream(), Key, 0).Reason.c_str());
  Fleet.Nodes[0].Backend->setFaults({});
  STRCMP_EQUAL("not_run",
               Callers.sendOne(chargeStream(), Key, 1).Outcome.c_str());
  LONGS_EQUAL(0, countStartedRuns(Fleet, Key));
}

TEST(Once, PausedHomeDiscardsOldRequestsAfterResuming) {
  fleet Fleet(ledgerFleet(3, milliseconds(5)));
  CHECK(awaitServing(Fleet));
  load_generator Callers(Fleet.entries());
  std::string Key = keyWithHome(Fleet, "ledger", 0);
  Fleet.signalNode(0, SIGSTOP);
  request_result DuringPause = Callers.sendOne(chargeStream(), Key, 1);
  STRCMP_EQUAL("unknown", DuringPause.Outcome.c_str());
  std::this_thread::sleep_for(milliseconds(1'000));
  Fleet.signalNode(0, SIGCONT);
  std::this_thread::sleep_for(milliseconds(1'000));
  request_result Repeated = Callers.sendOne(chargeStream(), Key, 2);
  LONGS_EQUAL(0, countStartedRuns(Fleet, Key));
  STRCMP_EQUAL("unknown", Repeated.Outcome.c_str());
  CHECK(eventually([&]() {
    return Callers.sendOne(chargeStream(), keyWithHome(Fleet, "ledger", 0), 1)
        .Succeeded;
  }));
}

TEST(Once, RequestReceivedByTheKernelDuringAPauseDoesNotRun) {
  fleet Fleet(ledgerFleet(2, milliseconds(5)));
  CHECK(awaitServing(Fleet));
  load_generator Callers(Fleet.entries());
  CHECK(Callers.sendOne(priceStream(), "", 0).Succeeded);
  std::size_t Before = Fleet.Log.records().size();
  Fleet.signalNode(0, SIGSTOP);
  std::string Key = newKey();
  background_call Price(Callers, priceStream(), "", 0);
  background_call Charge(Callers, chargeStream(), Key, 0);
  std::this_thread::sleep_for(milliseconds(2'500));
  Fleet.signalNode(0, SIGCONT);
  STRCMP_EQUAL("woke_late", Price.await().Reason.c_str());
  request_result Charged = Charge.await();
  STRCMP_EQUAL("woke_late", Charged.Reason.c_str());
  STRCMP_EQUAL("unknown", Charged.Outcome.c_str());
  LONGS_EQUAL(Before, Fleet.Log.records().size());
}

TEST(Once, IsolatedZoneAffectsOnlyIdsWithTheirHomeInIt) {
  standins::fleet_spec Spec = ledgerFleet(3, milliseconds(2));
  Spec.Relays = true;
  fleet Fleet(Spec);
  CHECK(awaitServing(Fleet));
  load_generator Callers(Fleet.entries());
  Fleet.cutZone(3);
  for (std::size_t Home = 0; Home < 2; ++Home) {
    std::string Key = keyWithHome(Fleet, "ledger", Home);
    CHECK_TEXT(Callers.sendOne(chargeStream(), Key, 1 - Home).Succeeded,
               "home in the other connected zone");
  }
  std::string IsolatedKey = keyWithHome(Fleet, "ledger", 2);
  request_result Refused = Callers.sendOne(chargeStream(), IsolatedKey, 0);
  STRCMP_EQUAL("unknown", Refused.Outcome.c_str());
  STRCMP_EQUAL("home_unreachable", Refused.Reason.c_str());
  // The isolated zone still serves the ids that have their home in it.
  CHECK(Callers.sendOne(chargeStream(), keyWithHome(Fleet, "ledger", 2), 2)
            .Succeeded);
  Fleet.healZones();
  CHECK(eventually([&]() {
    return Callers.sendOne(chargeStream(), IsolatedKey, 0).Succeeded;
  }));
  LONGS_EQUAL(1, countStartedRuns(Fleet, IsolatedKey));
}

TEST(Once, UnresponsiveConnectionIsReplacedAndTheIdRunsOnce) {
  standins::fleet_spec Spec = ledgerFleet(2, milliseconds(2));
  Spec.Relays = true;
  fleet Fleet(Spec);
  CHECK(awaitServing(Fleet));
  load_generator Callers(Fleet.entries());
  std::string FirstKey = keyWithHome(Fleet, "ledger", 0);
  CHECK(Callers.sendOne(chargeStream(), FirstKey, 1).Succeeded);
  Fleet.Nodes[0].Relay->silence();
  std::string Key = keyWithHome(Fleet, "ledger", 0);
  request_result Result = Callers.sendOne(chargeStream(), Key, 1);
  CHECK_TEXT(Result.Succeeded, Result.Reason.c_str());
  LONGS_EQUAL(1, countStartedRuns(Fleet, Key));
  CHECK(Fleet.metrics(1).find("figplank_dead_connections_total 0") ==
        std::string::npos);
}

TEST(Once, RosterChangeWithPreviousRosterRunsEachIdOnce) {
  standins::fleet_spec Spec = ledgerFleet(3, milliseconds(5));
  fleet Fleet(Spec);
  CHECK(awaitServing(Fleet));
  load_generator Callers(Fleet.entries());
  std::vector<std::string> Keys;
  for (int I = 0; I < 30; ++I) {
    Keys.push_back(newKey());
    CHECK(Callers.sendOne(chargeStream(), Keys.back(), 0).Succeeded);
  }
  // ledger-3 is removed from the roster while it is still running.
  nlohmann::json FullRoster = nlohmann::json::array();
  for (const standins::fleet_node &Node : Fleet.Nodes) {
    FullRoster.push_back(
        {{"name", Node.Name}, {"zone", "z1"}, {"address", Node.Rpc}});
  }
  nlohmann::json ReducedRoster = {FullRoster[0], FullRoster[1]};
  nlohmann::json Value{{"slots", 20},
                       {"roster", ReducedRoster},
                       {"previous", nlohmann::json::array({FullRoster})}};
  Fleet.Platform->publish("services/ledger", Value.dump());
  CHECK(Fleet.awaitReady());
  for (const std::string &Key : Keys) {
    request_result Repeated = Callers.sendOne(chargeStream(), Key, 1);
    CHECK_TEXT(Repeated.Succeeded, Repeated.Reason.c_str());
    LONGS_EQUAL(1, countStartedRuns(Fleet, Key));
  }
}

TEST(Once, AllRequestsCompleteDespiteOneBackendCrash) {
  fleet Fleet(ledgerFleet(2, milliseconds(50)));
  CHECK(awaitServing(Fleet));
  load_generator Callers(Fleet.entries());
  standins::load_stream Stream = priceStream();
  Stream.Rate = 100;
  Stream.Resends = 20;
  Stream.ResendPause = milliseconds(100);
  // All requests have the same body and thus the same fingerprint, as a
  // frequent request has.
  std::thread CrashThread([&]() {
    std::this_thread::sleep_for(milliseconds(500));
    Fleet.Nodes[0].Backend->crash();
    std::this_thread::sleep_for(milliseconds(500));
    Fleet.Nodes[0].Backend->restart();
  });
  Callers.run({Stream}, milliseconds(2'000));
  CrashThread.join();
  for (const request_result &Result : Callers.results()) {
    CHECK_TEXT(Result.Succeeded, Result.Reason.c_str());
  }
}

TEST(Once, RequestIsRefusedAfterCrashingTwoBackendServers) {
  standins::fleet_spec Spec = ledgerFleet(4, milliseconds(5));
  fleet Fleet(Spec);
  CHECK(awaitServing(Fleet));
  standins::backend_faults Faults;
  Faults.CrashMarker = "poison";
  Faults.RestartAfter = milliseconds(100);
  for (standins::fleet_node &Node : Fleet.Nodes) {
    Node.Backend->setFaults(Faults);
  }
  load_generator Callers(Fleet.entries());
  standins::load_stream CrashingStream = priceStream();
  CrashingStream.Body = "poison";
  request_result Last;
  for (std::size_t I = 0; I < 8; ++I) {
    Last = Callers.sendOne(CrashingStream, "", I % 4);
  }
  unsigned Crashes = 0;
  for (standins::fleet_node &Node : Fleet.Nodes) {
    Crashes += Node.Backend->crashes();
  }
  LONGS_EQUAL(2, Crashes);
  STRCMP_EQUAL("suspect_request", Last.Reason.c_str());
  STRCMP_EQUAL("not_run", Last.Outcome.c_str());
  CHECK(eventually(
      [&]() { return Callers.sendOne(priceStream(), "", 0).Succeeded; }));
}
