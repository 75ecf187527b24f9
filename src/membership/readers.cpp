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

std::vector<std::string>
orderCandidates(const reader_settings &Settings,
                const std::vector<std::string> &Members, std::string_view Self,
                framework::wall_time Now) {
  auto Period = static_cast<std::uint64_t>(Now.time_since_epoch() /
                                           Settings.RotationPeriod);
  std::vector<std::pair<std::uint64_t, std::string_view>> Weighted;
  Weighted.reserve(Members.size() + 1);
  Weighted.emplace_back(framework::hashText(Self, Period), Self);
  for (const std::string &Member : Members) {
    if (Member != Self) {
      Weighted.emplace_back(framework::hashText(Member, Period), Member);
    }
  }
  std::size_t Count = std::min(Settings.MaxCandidates, Weighted.size());
  std::partial_sort(Weighted.begin(),
                    Weighted.begin() + static_cast<std::ptrdiff_t>(Count),
                    Weighted.end(), std::greater<>());
  std::vector<std::string> Candidates;
  for (std::size_t I = 0; I < Count; ++I) {
    Candidates.emplace_back(Weighted[I].second);
  }
  return Candidates;
}

bool isReading(const reader_health &Health, const std::string &Candidate,
               framework::monotonic_time Now) {
  auto Found = Health.LastConfirmed.find(Candidate);
  return Found == Health.LastConfirmed.end() ||
         Now - Found->second <= Health.MaxSilence;
}

bool isReader(const std::vector<std::string> &Candidates,
              std::size_t ReaderCount, std::string_view Self,
              const reader_health &Health, framework::monotonic_time Now) {
  std::size_t ReadersBefore = 0;
  for (const std::string &Candidate : Candidates) {
    if (Candidate == Self) {
      return ReadersBefore < ReaderCount;
    }
    ReadersBefore += isReading(Health, Candidate, Now) ? 1 : 0;
  }
  return false;
}

std::vector<std::string> listWatched(const std::vector<std::string> &Candidates,
                                     std::size_t ReaderCount,
                                     std::string_view Self,
                                     reader_health &Health,
                                     framework::monotonic_time Now) {
  auto SelfPosition = std::find(Candidates.begin(), Candidates.end(), Self);
  auto FirstReaders =
      std::min(Candidates.size(), std::max<std::size_t>(ReaderCount, 1));
  std::vector<std::string> Watched;
  if (SelfPosition != Candidates.end() &&
      SelfPosition - Candidates.begin() >=
          static_cast<std::ptrdiff_t>(FirstReaders)) {
    std::size_t Readers = 0;
    for (auto It = Candidates.begin();
         It != SelfPosition && Readers < ReaderCount; ++It) {
      Watched.push_back(*It);
      Readers += isReading(Health, *It, Now) ? 1 : 0;
    }
  }
  std::erase_if(Health.LastConfirmed, [&Watched](const auto &Entry) {
    return std::find(Watched.begin(), Watched.end(), Entry.first) ==
           Watched.end();
  });
  for (const std::string &Candidate : Watched) {
    Health.LastConfirmed.try_emplace(Candidate, Now);
  }
  return Watched;
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
