/// \file
/// Which nodes read the platform, without an election: in each time slot the
/// few members of an availability zone with the highest rendezvous weights
/// take the duty themselves. Nodes that disagree about who is alive only
/// cause one reader more or fewer for a while.
#pragma once

#include "configuration/store.h"
#include "framework/timetypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace figplank::membership {

struct reader_settings {
  /// Readers per availability zone. Several, so that one that is dead, paused
  /// or cut off costs nothing but its share of the pushes.
  std::size_t ReadersPerZone = 3;
  /// Time after which the duty moves on.
  framework::milliseconds Slot{60'000};
  /// Time without any news of the platform after which a node reads itself,
  /// spread over as much again.
  framework::milliseconds MaxUpdateAge{10'000};
};

/// Whether \p Self is among the readers of its zone at \p Now. \p Members
/// are the addresses of the zone's nodes that look alive, Self included.
bool isReader(const reader_settings &Settings, std::string_view Self,
              const std::vector<std::string> &Members,
              framework::wall_time Now);

/// Addresses of all nodes on the list of instances, those of \p Zone only if
/// it is not empty.
std::vector<std::string> listNodes(const configuration::catalog &Catalog,
                                   std::string_view Zone);

/// Peers that did not answer an exchange of late. They are passed over, so that
/// a node among many dead or cut-off ones still hears of changes in time.
struct unresponsive_peers {
  /// Time after which a silent peer is asked again.
  framework::milliseconds RetryInterval{3'000};
  std::map<std::string, framework::monotonic_time> Until;
};

void recordExchange(unresponsive_peers &Unresponsive, const std::string &Peer,
                    bool Answered, framework::monotonic_time Now);

bool isUnresponsive(const unresponsive_peers &Unresponsive,
                    const std::string &Peer, framework::monotonic_time Now);

/// Picks a different member of \p Members, neither \p Self nor silent, for each
/// of \p Draws, random numbers in [0, 1), while there are any.
std::vector<std::string> pickPeers(const std::vector<std::string> &Members,
                                   std::string_view Self,
                                   const unresponsive_peers &Unresponsive,
                                   const std::vector<double> &Draws,
                                   framework::monotonic_time Now);

} // namespace figplank::membership
