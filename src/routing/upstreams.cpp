#include "routing/upstreams.h"

#include <algorithm>
#include <cmath>

namespace figplank::routing {
namespace {

using framework::monotonic_time;

const upstream_view *findView(const upstream_table &Table,
                              std::string_view Address) {
  auto Found = Table.Views.find(Address);
  return Found == Table.Views.end() ? nullptr : &Found->second;
}

upstream_view &findOrAddView(upstream_table &Table, std::string_view Address) {
  auto Found = Table.Views.find(Address);
  if (Found == Table.Views.end()) {
    Found = Table.Views.try_emplace(std::string(Address)).first;
  }
  return Found->second;
}

/// Requests at the upstream divided by its limit, plus a penalty for failures:
/// an upstream that fails fast has few requests in flight and would look idle.
/// A report is adjusted by the change in this node's outstanding requests since
/// then; without a recent report only those count. A load of 1 means that all
/// slots are taken.
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
  double OutstandingChange =
      static_cast<double>(View->Outstanding) - View->OutstandingAtReport;
  double Requests = std::max<double>(View->Outstanding, View->Load.InFlight +
                                                            View->Load.Queued +
                                                            OutstandingChange);
  return Requests / std::max(1.0, View->Load.Limit) +
         FailurePenalty * View->Load.FailureRate;
}

/// The upstream's LatencyRatio, faded for the time without a measurement.
double latencyRatioAt(const routing_settings &Settings,
                      const upstream_view &View, monotonic_time Now) {
  double Periods = framework::inSeconds(Now - View.LatencyMeasuredAt) /
                   framework::inSeconds(Settings.LatencyFadeTime);
  return 1.0 +
         (View.LatencyRatio - 1.0) * std::exp2(-std::max(0.0, Periods - 1.0));
}

/// Expected latency as a multiple of the baseline. Queueing delay is added for
/// the load above SpilloverLoad, where slots begin to run out.
double costOf(const upstream_table &Table, std::string_view Address,
              monotonic_time Now) {
  constexpr double DelayPerLoad = 3.0;
  const upstream_view *View = findView(Table, Address);
  double LatencyRatio =
      View == nullptr ? 1.0 : latencyRatioAt(Table.Settings, *View, Now);
  double ExcessLoad =
      std::max(0.0, loadOf(Table, Address, Now) - Table.Settings.SpilloverLoad);
  return LatencyRatio * (1.0 + DelayPerLoad * ExcessLoad);
}

using candidate_list = std::vector<const candidate *>;

/// The candidates that are neither draining nor avoided. If too many are
/// avoided, all that are not draining.
candidate_list listHealthy(const upstream_table &Table,
                           const std::vector<candidate> &Candidates,
                           monotonic_time Now) {
  candidate_list All;
  candidate_list Healthy;
  All.reserve(Candidates.size());
  Healthy.reserve(Candidates.size());
  for (const candidate &Candidate : Candidates) {
    const upstream_view *View = findView(Table, Candidate.Address);
    bool IsLeaving =
        View != nullptr &&
        View->Leaving == incarnation{Candidate.Name, Candidate.StartedMs};
    if (IsLeaving || (View != nullptr && Now < View->DrainingUntil)) {
      continue;
    }
    All.push_back(&Candidate);
    if (View == nullptr || Now >= View->AvoidUntil) {
      Healthy.push_back(&Candidate);
    }
  }
  double MinHealthy =
      Table.Settings.MinHealthyFraction * static_cast<double>(All.size());
  return static_cast<double>(Healthy.size()) < MinHealthy ? All : Healthy;
}

void removeTried(candidate_list &List, const std::vector<std::string> &Tried) {
  std::erase_if(List, [&](const candidate *Candidate) {
    return std::find(Tried.begin(), Tried.end(), Candidate->Address) !=
           Tried.end();
  });
}

bool areAboutEqual(const routing_settings &Settings, double Left,
                   double Right) {
  return std::abs(Left - Right) <=
         Settings.EqualCostFraction * std::min(Left, Right);
}

/// Draws two members of \p List and returns the one with the lower cost, or at
/// about equal cost the one with the lower load. Returns null if \p List is
/// empty.
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
  if (areAboutEqual(Table.Settings, FirstCost, SecondCost)) {
    FirstCost = loadOf(Table, List[First]->Address, Now);
    SecondCost = loadOf(Table, List[Second]->Address, Now);
  }
  return SecondCost < FirstCost ? List[Second] : List[First];
}

/// Whether a later incarnation of the backend server has the same node address.
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
                                      std::string_view Service) {
  std::vector<candidate> Candidates;
  auto Listed = Catalog.Instances.find(Service);
  auto Settings = Catalog.Services.find(Service);
  if (Listed != Catalog.Instances.end()) {
    for (const auto &[Name, Instance] : Listed->second) {
      if (Instance.State == configuration::instance_state::Live &&
          !isSuperseded(Instance, Listed->second)) {
        Candidates.push_back(
            {Name, Instance.Zone, Instance.Address, Instance.StartedMs});
      }
    }
  }
  // NOTE If no instance is listed as live, the list is taken to be wrong and
  // the published roster is used in its place.
  if (Candidates.empty() && Settings != Catalog.Services.end()) {
    for (const configuration::roster_member &Member : Settings->second.Roster) {
      Candidates.push_back({Member.Name, Member.Zone, Member.Address, 0});
    }
  }
  return Candidates;
}

const std::vector<candidate> &
candidatesOf(candidate_lists &Lists, const configuration::catalog &Catalog,
             std::string_view Service) {
  if (Lists.CatalogVersion != Catalog.Version) {
    Lists.ByService.clear();
    Lists.CatalogVersion = Catalog.Version;
  }
  auto Found = Lists.ByService.find(Service);
  if (Found == Lists.ByService.end()) {
    Found =
        Lists.ByService
            .try_emplace(std::string(Service), listCandidates(Catalog, Service))
            .first;
  }
  return Found->second;
}

const candidate *chooseUpstream(const upstream_table &Table,
                                const std::vector<candidate> &Candidates,
                                std::string_view Zone,
                                const std::vector<std::string> &Tried,
                                choice_draws Draws, monotonic_time Now) {
  candidate_list Healthy = listHealthy(Table, Candidates, Now);
  removeTried(Healthy, Tried);
  if (Healthy.empty()) {
    return nullptr;
  }
  candidate_list Local;
  for (const candidate *Candidate : Healthy) {
    if (Candidate->Zone == Zone) {
      Local.push_back(Candidate);
    }
  }
  const candidate *LocalChoice = betterOfTwo(Table, Local, Draws, Now);
  const candidate *OverallChoice = betterOfTwo(Table, Healthy, Draws, Now);
  if (LocalChoice == nullptr) {
    return OverallChoice;
  }
  double MaxCost = Table.Settings.SpilloverCostFactor *
                   costOf(Table, LocalChoice->Address, Now);
  bool KeepLocal = costOf(Table, OverallChoice->Address, Now) >= MaxCost;
  return KeepLocal ? LocalChoice : OverallChoice;
}

void recordStart(upstream_table &Table, std::string_view Address) {
  ++findOrAddView(Table, Address).Outstanding;
}

void recordEnd(upstream_table &Table, std::string_view Address) {
  upstream_view &View = findOrAddView(Table, Address);
  if (View.Outstanding > 0) {
    --View.Outstanding;
  }
}

void recordAnswer(upstream_table &Table, std::string_view Address,
                  const reported_load &Load, monotonic_time Now) {
  recordEnd(Table, Address);
  upstream_view &View = findOrAddView(Table, Address);
  View.Load = Load;
  View.ReportedAt = Now;
  View.OutstandingAtReport = View.Outstanding;
  View.ConsecutiveFailures = 0;
  View.AvoidUntil = monotonic_time();
  if (Load.Draining) {
    View.DrainingUntil = Now + Table.Settings.DrainRetryInterval;
  } else {
    View.DrainingUntil = monotonic_time();
  }
}

void recordLatency(upstream_table &Table, std::string_view Address,
                   std::string_view Kind, framework::microseconds Latency,
                   monotonic_time Now) {
  constexpr double MicrosecondsPerMs = 1000.0;
  constexpr double MinMs = 0.1;
  constexpr double MaxRatio = 8.0;
  upstream_view &View = findOrAddView(Table, Address);
  if (!View.HasAnswered) {
    View.HasAnswered = true;
    return;
  }
  double Ms =
      std::max(MinMs, static_cast<double>(Latency.count()) / MicrosecondsPerMs);
  auto Found = Table.Baselines.find(Kind);
  if (Found == Table.Baselines.end()) {
    Found = Table.Baselines.try_emplace(std::string(Kind)).first;
  }
  latency_baseline &Baseline = Found->second;
  double Ratio =
      Baseline.Samples == 0 ? 1.0 : std::min(MaxRatio, Ms / Baseline.Ms);
  ++Baseline.Samples;
  double Smoothing =
      std::max(Table.Settings.BaselineSmoothing, 1.0 / Baseline.Samples);
  Baseline.Ms += Smoothing * (Ms - Baseline.Ms);
  View.LatencyRatio = latencyRatioAt(Table.Settings, View, Now);
  View.LatencyMeasuredAt = Now;
  View.LatencyRatio +=
      Table.Settings.LatencyRatioSmoothing * (Ratio - View.LatencyRatio);
}

void recordFailure(upstream_table &Table, std::string_view Address,
                   monotonic_time Now) {
  recordEnd(Table, Address);
  upstream_view &View = findOrAddView(Table, Address);
  constexpr std::uint32_t MaxDoublings = 10;
  std::int64_t Factor = std::int64_t{1}
                        << std::min(View.ConsecutiveFailures, MaxDoublings);
  View.AvoidUntil = Now + std::min(Table.Settings.MaxAvoidTime,
                                   Table.Settings.MinAvoidTime * Factor);
  ++View.ConsecutiveFailures;
}

void recordDrain(upstream_table &Table, std::string_view Address,
                 monotonic_time Now) {
  findOrAddView(Table, Address).DrainingUntil =
      Now + Table.Settings.DrainRetryInterval;
}

void recordLeaving(upstream_table &Table, std::string_view Address,
                   const incarnation &Leaving) {
  findOrAddView(Table, Address).Leaving = Leaving;
}

void clearViews(upstream_table &Table) {
  for (auto &[Address, View] : Table.Views) {
    upstream_view Cleared;
    Cleared.Outstanding = View.Outstanding;
    Cleared.Leaving = std::move(View.Leaving);
    View = std::move(Cleared);
  }
}

} // namespace figplank::routing
