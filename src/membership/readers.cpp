#include "membership/readers.h"

#include "framework/hashing.h"

#include <algorithm>
#include <set>

namespace figplank::membership {

std::size_t readersPerZone(const reader_settings &Settings,
                           std::size_t ZoneCount) {
  std::size_t Zones = std::max<std::size_t>(ZoneCount, 1);
  std::size_t RoundedUp = (Settings.Readers + Zones - 1) / Zones;
  return std::clamp(RoundedUp, Settings.MinReadersPerZone,
                    Settings.MaxReadersPerZone);
}

bool isReader(const reader_settings &Settings, std::size_t ReaderCount,
              std::string_view Self, const std::vector<std::string> &Members,
              framework::wall_time Now) {
  auto Period = static_cast<std::uint64_t>(Now.time_since_epoch() /
                                           Settings.RotationPeriod);
  std::uint64_t SelfWeight = framework::hashText(Self, Period);
  std::size_t HigherWeights = 0;
  for (const std::string &Member : Members) {
    if (Member != Self && framework::hashText(Member, Period) > SelfWeight) {
      ++HigherWeights;
    }
  }
  return HigherWeights < ReaderCount;
}

std::size_t countZones(const configuration::catalog &Catalog) {
  std::set<std::string_view> Zones;
  for (const auto &[Service, Instances] : Catalog.Instances) {
    for (const auto &[Name, Instance] : Instances) {
      Zones.insert(Instance.Zone);
    }
  }
  return Zones.size();
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
  std::vector<const std::string *> Remaining;
  for (const std::string &Member : Members) {
    if (Member != Self && !isUnresponsive(Unresponsive, Member, Now)) {
      Remaining.push_back(&Member);
    }
  }
  std::vector<std::string> Picked;
  for (double Draw : Draws) {
    if (Remaining.empty()) {
      break;
    }
    auto Drawn =
        static_cast<std::size_t>(Draw * static_cast<double>(Remaining.size()));
    auto Index = std::min(Drawn, Remaining.size() - 1);
    Picked.push_back(*Remaining[Index]);
    Remaining.erase(Remaining.begin() + static_cast<std::ptrdiff_t>(Index));
  }
  return Picked;
}

bool isUnresponsive(const unresponsive_peers &Unresponsive,
                    const std::string &Peer, framework::monotonic_time Now) {
  auto Found = Unresponsive.SkipUntil.find(Peer);
  return Found != Unresponsive.SkipUntil.end() && Now < Found->second;
}

void recordExchange(unresponsive_peers &Unresponsive, const std::string &Peer,
                    bool Answered, framework::monotonic_time Now) {
  std::erase_if(Unresponsive.SkipUntil,
                [Now](const auto &Entry) { return Entry.second <= Now; });
  if (Answered) {
    Unresponsive.SkipUntil.erase(Peer);
  } else {
    Unresponsive.SkipUntil[Peer] = Now + Unresponsive.RetryInterval;
  }
}

} // namespace figplank::membership
