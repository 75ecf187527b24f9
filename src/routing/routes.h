/// \file
/// Which route a request takes, and which of the route's services it goes to.
#pragma once

#include "configuration/store.h"

#include <optional>
#include <string>
#include <string_view>

namespace figplank::routing {

/// The route of \p Table whose host is \p Host and whose prefix is the longest
/// that begins \p Path; null if there is none. Hosts are compared without
/// regard to case and to a port.
const configuration::route *findRoute(const configuration::route_table &Table,
                                      std::string_view Host,
                                      std::string_view Path);

/// The turns of one route's services.
struct backend_turns {
  std::vector<configuration::route_backend> Backends;
  /// What each service is owed, in units of the total weight.
  std::vector<double> Owed;
};

/// Divides the requests of each route among its services (smooth weighted
/// round-robin): after any number of requests no service is more than one
/// request from its part.
struct weighted_round_robin {
  /// By the route's name.
  configuration::text_map<backend_turns> Routes;
};

/// The service whose turn it is. \p Draw in [0, 1) sets where a route that is
/// new to this node begins, so that nodes do not all begin with the same one.
const std::string &nextService(weighted_round_robin &RoundRobin,
                               const configuration::route &Route, double Draw);

} // namespace figplank::routing
