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

std::size_t countRunsOn(const fleet &Fleet, const std::string &Server) {
  std::size_t Runs = 0;
  for (const standins::execution_record &Record : Fleet.Log.records()) {
    Runs += Record.Server == Server ? 1 : 0;
  }
  return Runs;
}

} // namespace

TEST_GROUP(Leaving){};

TEST(Leaving, TerminatedNodeCompletesItsRequestsAndAcceptsNoNewOnes) {
  fleet Fleet(ledgerFleet(2, milliseconds(300)));
  CHECK(awaitServing(Fleet));
  load_generator Callers({Fleet.Nodes[0].Http, Fleet.Nodes[1].Http});
  std::string RunningKey = keyWithHome(Fleet, "ledger", 0);
  request_result Result;
  std::thread Call(
      [&]() { Result = Callers.sendOne(chargeStream(), RunningKey, 1); });
  CHECK(eventually([&]() { return countStartedRuns(Fleet, RunningKey) == 1; }));
  Fleet.signalNode(0, SIGTERM);
  std::this_thread::sleep_for(milliseconds(50));
  std::size_t RunsBefore = countRunsOn(Fleet, "ledger-1");
  // The list of instances still reports the terminated node as live.
  standins::load_stream Stream = priceStream();
  for (int I = 0; I < 10; ++I) {
    CHECK(Callers.sendOne(Stream, "", 1).Succeeded);
  }
  Call.join();
  CHECK_TEXT(Result.Succeeded, Result.Reason.c_str());
  LONGS_EQUAL(RunsBefore, countRunsOn(Fleet, "ledger-1"));
  LONGS_EQUAL(0, Fleet.awaitExit(0));
}

TEST(Leaving, TerminatedEntryStillAnswersItsCaller) {
  fleet Fleet(ledgerFleet(2, milliseconds(300)));
  CHECK(awaitServing(Fleet));
  load_generator Callers({Fleet.Nodes[0].Http});
  request_result Result;
  std::thread Call([&]() { Result = Callers.sendOne(priceStream(), "", 0); });
  CHECK(eventually([&]() { return Fleet.Log.records().size() == 1; }));
  Fleet.signalNode(0, SIGTERM);
  Call.join();
  CHECK_TEXT(Result.Succeeded, Result.Reason.c_str());
  LONGS_EQUAL(0, Fleet.awaitExit(0));
}

TEST(Leaving, RestartedNodesReceiveRequestsAgain) {
  constexpr std::size_t Nodes = 3;
  standins::fleet_spec Spec = ledgerFleet(Nodes, milliseconds(2));
  Spec.Zones = 1;
  fleet Fleet(Spec);
  CHECK(awaitServing(Fleet));
  load_generator Callers({Fleet.Nodes[0].Http});
  // Restarts all nodes but the entry, one after the other. Their backend
  // servers keep running.
  for (std::size_t I = 1; I < Nodes; ++I) {
    Fleet.signalNode(I, SIGTERM);
    for (int Call = 0; Call < 10; ++Call) {
      CHECK(Callers.sendOne(priceStream(), "", 0).Succeeded);
    }
    LONGS_EQUAL(0, Fleet.awaitExit(I));
    Fleet.startNode(I);
  }
  CHECK(awaitServing(Fleet));
  Fleet.Log.clear();
  CHECK(eventually(
      [&]() {
        (void)Callers.sendOne(priceStream(), "", 0);
        return countRunsOn(Fleet, "ledger-2") > 0 &&
               countRunsOn(Fleet, "ledger-3") > 0;
      },
      milliseconds(5'000)));
}

TEST(Leaving, DrainingBackendServerReceivesNoNewRequests) {
  fleet Fleet(ledgerFleet(2, milliseconds(2)));
  CHECK(awaitServing(Fleet));
  load_generator Callers(Fleet.entries());
  standins::backend_faults Faults;
  Faults.Draining = true;
  Fleet.Nodes[0].Backend->setFaults(Faults);
  CHECK(eventually([&]() {
    (void)Callers.sendOne(priceStream(), "", 0);
    return Fleet.status(0)["draining"] == true;
  }));
  std::size_t RunsBefore = countRunsOn(Fleet, "ledger-1");
  for (int I = 0; I < 20; ++I) {
    CHECK(Callers.sendOne(priceStream(), "", I % 2).Succeeded);
  }
  LONGS_EQUAL(RunsBefore, countRunsOn(Fleet, "ledger-1"));
}

TEST(Leaving, TerminatedHomeFencesItsNewIds) {
  fleet Fleet(ledgerFleet(2, milliseconds(500)));
  CHECK(awaitServing(Fleet));
  load_generator Callers({Fleet.Nodes[0].Http, Fleet.Nodes[1].Http});
  std::string RunningKey = keyWithHome(Fleet, "ledger", 0);
  std::thread Call(
      [&]() { (void)Callers.sendOne(chargeStream(), RunningKey, 1); });
  CHECK(eventually([&]() { return countStartedRuns(Fleet, RunningKey) == 1; }));
  Fleet.signalNode(0, SIGTERM);
  std::this_thread::sleep_for(milliseconds(50));
  std::string LateKey = keyWithHome(Fleet, "ledger", 0);
  request_result Refused = Callers.sendOne(chargeStream(), LateKey, 1);
  STRCMP_EQUAL("not_run", Refused.Outcome.c_str());
  STRCMP_EQUAL("draining", Refused.Reason.c_str());
  Call.join();
  Fleet.awaitExit(0);
  Fleet.startNode(0);
  CHECK(awaitServing(Fleet));
  CHECK_FALSE(Callers.sendOne(chargeStream(), LateKey, 1).Succeeded);
  LONGS_EQUAL(0, countStartedRuns(Fleet, LateKey));
}
