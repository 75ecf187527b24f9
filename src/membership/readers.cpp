#include "membership/readers.h"

#include "framework/hashing.h"

#include <algorithm>

namespace figplank::membership {

bool isReader(const reader_settings &Settings, std::string_view Self,
              const std::vector<std::string> &Members,
              framework::wall_time Now) {
  auto Slot =
      static_cast<std::uint64_t>(Now.time_since_epoch() / Settings.Slot);
  std::uint64_t Own = framework::hashText(Self, Slot);
  std::size_t Ahead = 0;
  for (const std::string &Member : Members) {
    if (Member != Self && framework::hashText(Member, Slot) > Own) {
      ++Ahead;
    }
  }
  return Ahead < Settings.ReadersPerZone;
}

std::vector<std::string> listNodes(const configuration::catalog &Catalog,
                                   std::string_view Zone) {
  std::vector<std::string> Nodes;
  for (const auto &[Service, Instances] : Catalog.Instances) {
    for (const auto &[Name, Instance] : Instances) {
      if (Zone.empty() || Instance.Zone == Zone) {
        Nodes.push_back(Instance.Address);
      }
    }
  }
  return Nodes;
}

std::vector<std::string> pickPeers(const std::vector<std::string> &Members,
                                   std::string_view Self,
                                   const std::vector<double> &Draws) {
  std::vector<std::string> Picked;
  if (Members.empty()) {
    return Picked;
  }
  for (double Draw : Draws) {
    auto Index =
        static_cast<std::size_t>(Draw * static_cast<double>(Members.size()));
    const std::string &Member = Members[std::min(Index, Members.size() - 1)];
    bool Repeated =
        std::find(Picked.begin(), Picked.end(), Member) != Picked.end();
    if (Member != Self && !Repeated) {
      Picked.push_back(Member);
    }
  }
  return Picked;
}

} // namespace figplank::membership
