#include "routing/upstreams.h"

#include <algorithm>

namespace figplank::routing {
namespace {

using framework::monotonic_time;

const upstream_view *findView(const upstream_table &Table,
                              std::string_view Address) {
  auto Found = Table.Views.find(Address);
  return Found == Table.Views.end() ? nullptr : &Found->second;
}

upstream_view &viewOf(upstream_table &Table, std::string_view Address) {
  auto Found = Table.Views.find(Address);
  if (Found == Table.Views.end()) {
    Found = Table.Views.try_emplace(std::string(Address)).first;
  }
  return Found->second;
}

/// Requests at the upstream for each that it can run, with this node's own
/// requests since its last report; 1 means full.
double loadOf(const upstream_table &Table, std::string_view Address,
              monotonic_time Now) {
  constexpr double FailurePenalty = 4.0;
  const upstream_view *View = findView(Table, Address);
  if (View == nullptr) {
    return 0.0;
  }
  bool Fresh = Now - View->ReportedAt < Table.Settings.ReportLifetime;
  if (!Fresh) {
    return View->Outstanding / std::max(1.0, View->Load.Limit);
  }
  double Since =
      static_cast<double>(View->Outstanding) - View->OutstandingAtReport;
  double Requests = std::max<double>(
      View->Outstanding, View->Load.InFlight + View->Load.Queued + Since);
  return Requests / std::max(1.0, View->Load.Limit) +
         FailurePenalty * View->Load.FailureRate;
}

/// Expected time to an answer in terms of the usual one. A wait is expected
/// from the load at which the slots begin to run out.
double costOf(const upstream_table &Table, std::string_view Address,
              monotonic_time Now) {
  constexpr double WaitPerLoad = 3.0;
  const upstream_view *View = findView(Table, Address);
  double Slowness = View == nullptr ? 1.0 : View->Slowness;
  double Excess =
      std::max(0.0, loadOf(Table, Address, Now) - Table.Settings.SpillLoad);
  return Slowness * (1.0 + WaitPerLoad * Excess);
}

bool isAvoided(const upstream_table &Table, const candidate &Candidate,
               monotonic_time Now) {
  const upstream_view *View = findView(Table, Candidate.Address);
  return View != nullptr && Now < View->AvoidUntil;
}

using candidate_list = std::vector<const candidate *>;

/// The candidates that look alive, or all where too few do.
candidate_list listAlive(const upstream_table &Table,
                         const std::vector<candidate> &Candidates,
                         monotonic_time Now) {
  candidate_list All;
  candidate_list Alive;
  for (const candidate &Candidate : Candidates) {
    All.push_back(&Candidate);
    if (!isAvoided(Table, Candidate, Now)) {
      Alive.push_back(&Candidate);
    }
  }
  double Least = Table.Settings.LeastAlive * static_cast<double>(All.size());
  return static_cast<double>(Alive.size()) < Least ? All : Alive;
}

void removeTried(candidate_list &List, const std::vector<std::string> &Tried) {
  std::erase_if(List, [&](const candidate *Candidate) {
    return std::find(Tried.begin(), Tried.end(), Candidate->Address) !=
           Tried.end();
  });
}

const candidate *betterOfTwo(const upstream_table &Table,
                             const candidate_list &List, choice_draws Draws,
                             monotonic_time Now) {
  if (List.empty()) {
    return nullptr;
  }
  auto Size = static_cast<double>(List.size());
  auto First = static_cast<std::size_t>(Draws.First * Size);
  if (List.size() == 1) {
    return List[0];
  }
  auto Second = static_cast<std::size_t>(Draws.Second * (Size - 1.0));
  Second += Second >= First ? 1 : 0;
  double FirstCost = costOf(Table, List[First]->Address, Now);
  double SecondCost = costOf(Table, List[Second]->Address, Now);
  if (FirstCost == SecondCost) {
    FirstCost = loadOf(Table, List[First]->Address, Now);
    SecondCost = loadOf(Table, List[Second]->Address, Now);
  }
  return SecondCost < FirstCost ? List[Second] : List[First];
}

/// Whether a later incarnation stands behind the same node.
bool isSuperseded(
    const configuration::instance &Instance,
    const configuration::text_map<configuration::instance> &Instances) {
  return std::any_of(Instances.begin(), Instances.end(),
                     [&Instance](const auto &Row) {
                       return Row.second.Address == Instance.Address &&
                              Row.second.StartedMs > Instance.StartedMs;
                     });
}

} // namespace

std::vector<candidate> listCandidates(const configuration::catalog &Catalog,
                                      const upstream_table &Table,
                                      std::string_view Service,
                                      monotonic_time Now) {
  std::vector<candidate> Candidates;
  auto Listed = Catalog.Instances.find(Service);
  auto Settings = Catalog.Services.find(Service);
  if (Listed != Catalog.Instances.end()) {
    for (const auto &[Name, Instance] : Listed->second) {
      if (Instance.State == configuration::instance_state::Live &&
          !isSuperseded(Instance, Listed->second)) {
        Candidates.push_back({Name, Instance.Zone, Instance.Address});
      }
    }
  }
  // NOTE Without a single live row the list is suspected, and the published
  // roster stands in for it.
  if (Candidates.empty() && Settings != Catalog.Services.end()) {
    for (const configuration::roster_member &Member : Settings->second.Roster) {
      Candidates.push_back({Member.Name, Member.Zone, Member.Address});
    }
  }
  std::erase_if(Candidates, [&](const candidate &Candidate) {
    const upstream_view *View = findView(Table, Candidate.Address);
    return View != nullptr && Now < View->DrainingUntil;
  });
  return Candidates;
}

const candidate *chooseUpstream(const upstream_table &Table,
                                const std::vector<candidate> &Candidates,
                                std::string_view Zone,
                                const std::vector<std::string> &Tried,
                                choice_draws Draws, monotonic_time Now) {
  candidate_list Alive = listAlive(Table, Candidates, Now);
  removeTried(Alive, Tried);
  if (Alive.empty()) {
    return nullptr;
  }
  candidate_list Local;
  for (const candidate *Candidate : Alive) {
    if (Candidate->Zone == Zone) {
      Local.push_back(Candidate);
    }
  }
  const candidate *Near = betterOfTwo(Table, Local, Draws, Now);
  const candidate *Any = betterOfTwo(Table, Alive, Draws, Now);
  if (Near == nullptr) {
    return Any;
  }
  double Bound = Table.Settings.SpillFactor * costOf(Table, Near->Address, Now);
  bool KeepNear = costOf(Table, Any->Address, Now) >= Bound;
  return KeepNear ? Near : Any;
}

void recordStart(upstream_table &Table, std::string_view Address) {
  ++viewOf(Table, Address).Outstanding;
}

void recordEnd(upstream_table &Table, std::string_view Address) {
  upstream_view &View = viewOf(Table, Address);
  if (View.Outstanding > 0) {
    --View.Outstanding;
  }
}

void recordAnswer(upstream_table &Table, std::string_view Address,
                  const reported_load &Load, monotonic_time Now) {
  recordEnd(Table, Address);
  upstream_view &View = viewOf(Table, Address);
  View.Load = Load;
  View.ReportedAt = Now;
  View.OutstandingAtReport = View.Outstanding;
  View.FailuresInRow = 0;
  View.AvoidUntil = monotonic_time();
  if (Load.Draining) {
    View.DrainingUntil = Now + Table.Settings.DrainRetryInterval;
  } else {
    View.DrainingUntil = monotonic_time();
  }
}

void recordLatency(upstream_table &Table, std::string_view Address,
                   std::string_view Kind, framework::microseconds Taken) {
  constexpr double MicrosecondsPerMs = 1000.0;
  constexpr double LeastMs = 0.1;
  constexpr double MostRatio = 8.0;
  double Ms =
      std::max(LeastMs, static_cast<double>(Taken.count()) / MicrosecondsPerMs);
  auto Usual = Table.UsualMs.find(Kind);
  if (Usual == Table.UsualMs.end()) {
    Usual = Table.UsualMs.try_emplace(std::string(Kind), Ms).first;
  }
  double Ratio = std::min(MostRatio, Ms / Usual->second);
  Usual->second += Table.Settings.UsualSmoothing * (Ms - Usual->second);
  upstream_view &View = viewOf(Table, Address);
  View.Slowness += Table.Settings.SlownessSmoothing * (Ratio - View.Slowness);
}

void recordFailure(upstream_table &Table, std::string_view Address,
                   monotonic_time Now) {
  recordEnd(Table, Address);
  upstream_view &View = viewOf(Table, Address);
  constexpr std::uint32_t MaxDoublings = 10;
  std::int64_t Factor = std::int64_t{1}
                        << std::min(View.FailuresInRow, MaxDoublings);
  View.AvoidUntil = Now + std::min(Table.Settings.MaxAvoidTime,
                                   Table.Settings.AvoidBase * Factor);
  ++View.FailuresInRow;
}

void recordDrain(upstream_table &Table, std::string_view Address,
                 monotonic_time Now) {
  viewOf(Table, Address).DrainingUntil =
      Now + Table.Settings.DrainRetryInterval;
}

void clearViews(upstream_table &Table) {
  for (auto &[Address, View] : Table.Views) {
    std::uint32_t Outstanding = View.Outstanding;
    View = upstream_view();
    View.Outstanding = Outstanding;
  }
}

} // namespace figplank::routing
