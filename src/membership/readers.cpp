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
                                   const unresponsive_peers &Unresponsive,
                                   const std::vector<double> &Draws,
                                   framework::monotonic_time Now) {
  if (Draws.empty()) {
    return {};
  }
  std::vector<const std::string *> Left;
  for (const std::string &Member : Members) {
    if (Member != Self && !isUnresponsive(Unresponsive, Member, Now)) {
      Left.push_back(&Member);
    }
  }
  std::vector<std::string> Picked;
  for (double Draw : Draws) {
    if (Left.empty()) {
      break;
    }
    auto Drawn =
        static_cast<std::size_t>(Draw * static_cast<double>(Left.size()));
    auto Index = std::min(Drawn, Left.size() - 1);
    Picked.push_back(*Left[Index]);
    Left.erase(Left.begin() + static_cast<std::ptrdiff_t>(Index));
  }
  return Picked;
}

bool isUnresponsive(const unresponsive_peers &Unresponsive,
                    const std::string &Peer, framework::monotonic_time Now) {
  auto Found = Unresponsive.Until.find(Peer);
  return Found != Unresponsive.Until.end() && Now < Found->second;
}

void recordExchange(unresponsive_peers &Unresponsive, const std::string &Peer,
                    bool Answered, framework::monotonic_time Now) {
  std::erase_if(Unresponsive.Until,
                [Now](const auto &Entry) { return Entry.second <= Now; });
  if (Answered) {
    Unresponsive.Until.erase(Peer);
  } else {
    Unresponsive.Until[Peer] = Now + Unresponsive.RetryInterval;
  }
}

} // namespace figplank::membership
