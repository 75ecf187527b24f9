#include "node/servicesettings.h"

#include <algorithm>

namespace figplank::node {
namespace {

using framework::log_level;
using framework::logEvent;
using framework::readClocks;

/// Minimum queue bound, regardless of the number of slots.
constexpr std::size_t MinQueueBound = 16;
/// Fraction of the capacity that each rank keeps on nodes that serve routes, as
/// routes do not define minimum shares.
constexpr double RouteMinimumShare = 0.05;
/// Fraction of a backend server's slots that is used, because servers slow down
/// when nearly full and a new connection may briefly occupy a slot.
constexpr double UsableSlotFraction = 0.94;

/// Takes over the instance at this node's backend address. What an earlier one
/// has announced says nothing about it.
void applyIncarnation(node_runtime &Node,
                      const configuration::instance &Instance) {
  routing::incarnation Incarnation{Instance.Name, Instance.StartedMs};
  if (Incarnation == Node.BackendInstance) {
    return;
  }
  Node.BackendInstance = Incarnation;
  Node.BackendAnnouncedLeaving = false;
  admission::clearLimit(Node.RateLimit);
  logEvent(log_level::Info, "backend_instance",
           {{"instance", Instance.Name}, {"slots", Instance.Slots}});
}

/// Finds the newest instance at this node's backend address and applies its
/// slots and state.
void applyBackendInstance(node_runtime &Node) {
  auto Listed = Node.Store.Catalog.Instances.find(Node.Settings.Service);
  const configuration::instance *Newest = nullptr;
  if (Listed != Node.Store.Catalog.Instances.end()) {
    for (const auto &[Name, Instance] : Listed->second) {
      bool IsLocal = Instance.BackendAddress == Node.Settings.BackendAddress;
      if (IsLocal &&
          (Newest == nullptr || Instance.StartedMs > Newest->StartedMs)) {
        Newest = &Instance;
      }
    }
  }
  if (Newest != nullptr) {
    applyIncarnation(Node, *Newest);
  }
  bool ListedLeaving =
      Newest == nullptr
          ? !Node.BackendInstance.Name.empty()
          : Newest->State == configuration::instance_state::Leaving;
  if (ListedLeaving || Node.BackendAnnouncedLeaving) {
    recordBackendLeaving(Node);
  } else {
    Node.BackendLeavingSince.reset();
  }
  if (Newest == nullptr) {
    return;
  }
  Node.MinimumShares.fill(RouteMinimumShare);
  if (Newest->Slots > 0) {
    admission::setSlots(Node.Limit, UsableSlotFraction * Newest->Slots);
    Node.Queue.Settings.MaxQueued =
        std::max(MinQueueBound, std::size_t{2} * Newest->Slots);
  }
}

} // namespace

void recordBackendLeaving(node_runtime &Node) {
  if (Node.BackendLeavingSince) {
    return;
  }
  Node.BackendLeavingSince = readClocks().Monotonic;
  logEvent(log_level::Info, "backend_leaving",
           {{"instance", Node.BackendInstance.Name},
            {"announced", Node.BackendAnnouncedLeaving ? "yes" : "no"}});
}

void applyServiceSettings(node_runtime &Node) {
  if (servesRoutes(Node.Settings)) {
    applyBackendInstance(Node);
  }
  auto Service = Node.Store.Catalog.Services.find(Node.Settings.Service);
  if (Service == Node.Store.Catalog.Services.end()) {
    return;
  }
  Node.MinimumShares =
      configuration::minimumShares(Node.Store.Catalog, Node.Settings.Service);
  admission::setSlots(Node.Limit, Service->second.Slots);
  Node.Queue.Settings.MaxQueued =
      std::max(MinQueueBound, std::size_t{2} * Service->second.Slots);
  bool Changed = Node.Home.Roster != Service->second.Roster ||
                 Node.Home.PreviousRosters != Service->second.PreviousRosters;
  if (Changed) {
    execution::updateRoster(Node.Home, Service->second, readClocks().Wall);
    logEvent(
        log_level::Info, "roster_applied",
        {{"members", static_cast<std::uint64_t>(Service->second.Roster.size())},
         {"previous",
          static_cast<std::uint64_t>(Service->second.PreviousRosters.size())}});
  }
}

} // namespace figplank::node
