#include "testfleet.h"

#include "execution/home.h"

#include <random>
#include <thread>

namespace figplank::node::tests {

using standins::fleet;
using standins::load_stream;

standins::fleet_spec ledgerFleet(unsigned Upstreams,
                                 std::chrono::milliseconds ServiceTime) {
  standins::fleet_spec Spec;
  Spec.Zones = Upstreams;
  Spec.Organisations = {"alpha", "beta"};
  standins::service_spec Ledger;
  Ledger.Name = "ledger";
  Ledger.Upstreams = Upstreams;
  Ledger.Slots = 20;
  Ledger.Paths["/charge"].ServiceTime = ServiceTime;
  Ledger.Paths["/price"].ServiceTime = ServiceTime;
  Spec.Services = {Ledger};
  standins::template_spec Charge;
  Charge.Name = "charge";
  Charge.Service = "ledger";
  Charge.Path = "/charge";
  Charge.DeadlineMs = 3'000;
  Charge.Idempotent = false;
  standins::template_spec Price = Charge;
  Price.Name = "price";
  Price.Path = "/price";
  Price.Idempotent = true;
  Spec.Templates = {Charge, Price};
  Spec.NodeFlags = {"--clock-bound-ms=" + std::to_string(ClockBound.count()),
                    "--retention-ms=60000"};
  return Spec;
}

bool awaitServing(fleet &Fleet) {
  bool Ready = Fleet.awaitReady();
  std::this_thread::sleep_for(2 * ClockBound);
  return Ready;
}

std::string newKey() {
  static std::mt19937_64 Random(std::random_device{}());
  return execution::formatRequestId(execution::makeRequestId(
      framework::readClocks().Wall, Random(), Random()));
}

std::size_t homeIndex(const fleet &Fleet, const std::string &Service,
                      const std::string &Key) {
  std::vector<configuration::roster_member> Roster;
  for (std::size_t Index : Fleet.nodesOf(Service)) {
    Roster.push_back({Fleet.Nodes[Index].Name, "", Fleet.Nodes[Index].Rpc});
  }
  auto Id = execution::parseRequestId(Key);
  const configuration::roster_member *Home = execution::homeOf(*Id, Roster);
  return Fleet.nodesOf(Service)[static_cast<std::size_t>(Home - Roster.data())];
}

std::string keyWithHome(const fleet &Fleet, const std::string &Service,
                        std::size_t Index) {
  while (true) {
    std::string Key = newKey();
    if (homeIndex(Fleet, Service, Key) == Index) {
      return Key;
    }
  }
}

load_stream chargeStream() {
  load_stream Stream;
  Stream.Name = "charge";
  Stream.Template = "charge";
  Stream.Organisation = "alpha";
  return Stream;
}

load_stream priceStream() {
  load_stream Stream = chargeStream();
  Stream.Name = "price";
  Stream.Template = "price";
  return Stream;
}

std::size_t countStartedRuns(const fleet &Fleet, const std::string &Key) {
  std::size_t StartedRuns = 0;
  for (const standins::execution_record &Record : Fleet.Log.records()) {
    StartedRuns += Record.Key == Key ? 1 : 0;
  }
  return StartedRuns;
}

} // namespace figplank::node::tests
