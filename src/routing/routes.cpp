#include "routing/routes.h"

#include <algorithm>
#include <numeric>

namespace figplank::routing {
namespace {

using configuration::route;
using configuration::route_backend;

double totalWeight(const std::vector<route_backend> &Backends) {
  return std::accumulate(Backends.begin(), Backends.end(), 0.0,
                         [](double Sum, const route_backend &Backend) {
                           return Sum + Backend.Weight;
                         });
}

round_robin_state makeRoundRobinState(const route &Route, double Draw) {
  round_robin_state State{Route.Backends, {}};
  double Total = totalWeight(Route.Backends);
  // The first service is drawn at random by weight. Each service covers an
  // interval of [0, Total) as long as its weight; the one whose interval
  // contains the drawn point is first.
  double Start = 0.0;
  for (const route_backend &Backend : Route.Backends) {
    double Point = Draw * Total;
    bool First = Point >= Start && Point < Start + Backend.Weight;
    State.CurrentWeights.push_back(First ? Total / 2 : 0.0);
    Start += Backend.Weight;
  }
  return State;
}

} // namespace

const route *findRoute(const configuration::route_table &Table,
                       std::string_view Host, std::string_view Path) {
  std::string NormalizedHost = configuration::normalizeHost(Host);
  const route *Best = nullptr;
  for (const route &Route : Table.Routes) {
    bool Longer = Best == nullptr || Route.Prefix.size() > Best->Prefix.size();
    if (Longer && Path.starts_with(Route.Prefix) &&
        Route.Host == NormalizedHost) {
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
    Found = RoundRobin.Routes
                .insert_or_assign(Route.Name, makeRoundRobinState(Route, Draw))
                .first;
  }
  std::vector<double> &CurrentWeights = Found->second.CurrentWeights;
  for (std::size_t I = 0; I < CurrentWeights.size(); ++I) {
    CurrentWeights[I] += Route.Backends[I].Weight;
  }
  auto Chosen = static_cast<std::size_t>(
      std::max_element(CurrentWeights.begin(), CurrentWeights.end()) -
      CurrentWeights.begin());
  CurrentWeights[Chosen] -= totalWeight(Route.Backends);
  return Route.Backends[Chosen].Service;
}

} // namespace figplank::routing
