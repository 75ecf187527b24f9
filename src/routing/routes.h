/// \file
/// Matches requests to routes, and divides the requests of a route among its
/// services.
#pragma once

#include "configuration/store.h"

#include <optional>
#include <string>
#include <string_view>

namespace figplank::routing {

/// The route in \p Table for \p Host with the longest prefix of \p Path, or
/// null if none matches. The comparison of hosts ignores case and the port.
const configuration::route *findRoute(const configuration::route_table &Table,
                                      std::string_view Host,
                                      std::string_view Path);

/// Round-robin state of one route.
struct round_robin_state {
  /// The services and weights that CurrentWeights belongs to. When the route's
  /// own differ, the state is made anew.
  std::vector<configuration::route_backend> Backends;
  /// Current weight of each service, in the order of Backends. It grows by the
  /// service's weight with each request of the route, and falls by the total
  /// weight when the service is chosen.
  std::vector<double> CurrentWeights;
};

/// Divides the requests of each route among its services (smooth weighted
/// round-robin). After any number of requests, no service's count differs from
/// its share by more than one request.
struct weighted_round_robin {
  /// By route name.
  configuration::text_map<round_robin_state> Routes;
};

/// The service that the next request of \p Route goes to. \p Draw, a random
/// number in [0, 1), selects the first service of a route that is new or has
/// changed, so that nodes do not all start with the same one.
const std::string &nextService(weighted_round_robin &RoundRobin,
                               const configuration::route &Route, double Draw);

} // namespace figplank::routing
