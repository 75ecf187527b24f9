#include "routing/routes.h"

#include <algorithm>
#include <numeric>

namespace figplank::routing {
namespace {

using configuration::route;
using configuration::route_backend;

double totalWeight(const std::vector<route_backend> &Backends) {
  return std::accumulate(
      Backends.begin(), Backends.end(), 0.0,
      [](double Sum, const route_backend &Row) { return Sum + Row.Weight; });
}

backend_turns startTurns(const route &Route, double Draw) {
  backend_turns Turns{Route.Backends, {}};
  double Total = totalWeight(Route.Backends);
  // The services' parts lie side by side on [0, Total); the one that holds the
  // drawn point begins.
  double Start = 0.0;
  for (const route_backend &Row : Route.Backends) {
    double Point = Draw * Total;
    bool First = Point >= Start && Point < Start + Row.Weight;
    Turns.Owed.push_back(First ? Total / 2 : 0.0);
    Start += Row.Weight;
  }
  return Turns;
}

} // namespace

const route *findRoute(const configuration::route_table &Table,
                       std::string_view Host, std::string_view Path) {
  std::string Wanted = configuration::normalizeHost(Host);
  const route *Best = nullptr;
  for (const route &Route : Table.Routes) {
    bool Longer = Best == nullptr || Route.Prefix.size() > Best->Prefix.size();
    if (Longer && Path.starts_with(Route.Prefix) && Route.Host == Wanted) {
      Best = &Route;
    }
  }
  return Best;
}

const std::string &nextService(weighted_round_robin &RoundRobin,
                               const route &Route, double Draw) {
  if (Route.Backends.size() == 1) {
    return Route.Backends.front().Service;
  }
  auto Found = RoundRobin.Routes.find(Route.Name);
  bool Changed = Found == RoundRobin.Routes.end() ||
                 Found->second.Backends != Route.Backends;
  if (Changed) {
    Found =
        RoundRobin.Routes.insert_or_assign(Route.Name, startTurns(Route, Draw))
            .first;
  }
  std::vector<double> &Owed = Found->second.Owed;
  for (std::size_t I = 0; I < Owed.size(); ++I) {
    Owed[I] += Route.Backends[I].Weight;
  }
  auto Turn = static_cast<std::size_t>(
      std::max_element(Owed.begin(), Owed.end()) - Owed.begin());
  Owed[Turn] -= totalWeight(Route.Backends);
  return Route.Backends[Turn].Service;
}

} // namespace figplank::routing
