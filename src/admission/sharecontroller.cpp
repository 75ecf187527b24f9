#include "admission/sharecontroller.h"

#include <algorithm>

namespace figplank::admission {
namespace {

/// Row shared by the organisations beyond the bound.
constexpr std::string_view OverflowRow = "*";

void smoothDemands(share_controller &Controller, double Seconds) {
  const share_settings &Settings = Controller.Settings;
  for (auto &Rows : Controller.Rows) {
    for (auto &[Organisation, Row] : Rows) {
      double Measured = Row.Arrived / Seconds;
      Row.Demand += Settings.Smoothing * (Measured - Row.Demand);
      Row.Arrived = 0.0;
    }
    std::erase_if(Rows, [&](const auto &Entry) {
      return Entry.second.Demand < Settings.ForgetBelow;
    });
  }
}

void correct(share_controller &Controller, const window_measure &Measure) {
  const share_settings &Settings = Controller.Settings;
  if (Measure.StandingDelay > Settings.TargetDelay) {
    Controller.Correction *= Settings.DecreaseFactor;
  } else if (Controller.Refusing && Measure.StandingDelay.count() == 0) {
    bool Idle = Measure.PeakInFlight < Settings.IdleFraction * Measure.Limit;
    Controller.Correction *=
        Idle ? Settings.IdleIncreaseFactor : Settings.IncreaseFactor;
  } else if (!Controller.Refusing) {
    Controller.Correction += Settings.Smoothing * (1.0 - Controller.Correction);
  }
  Controller.Correction = std::clamp(
      Controller.Correction, Settings.LeastCorrection, Settings.MostCorrection);
}

rank_demands listDemands(const share_controller &Controller) {
  rank_demands Demands;
  for (std::size_t Rank = 0; Rank < RankCount; ++Rank) {
    for (const auto &[Organisation, Row] : Controller.Rows[Rank]) {
      Demands[Rank].push_back({Organisation, Row.Demand, 1.0});
    }
  }
  return Demands;
}

void takeShares(share_controller &Controller, const rank_demands &Demands) {
  Controller.Refusing = false;
  for (std::size_t Rank = 0; Rank < RankCount; ++Rank) {
    for (const organisation_demand &Demand : Demands[Rank]) {
      Controller.Rows[Rank].find(Demand.Organisation)->second.Share =
          Demand.Share;
      Controller.Refusing |= Demand.Share < 1.0;
    }
  }
}

} // namespace

share_controller makeShareController(const share_settings &Settings,
                                     framework::monotonic_time Now) {
  share_controller Controller;
  Controller.Settings = Settings;
  Controller.WindowStart = Now;
  return Controller;
}

std::uint8_t mostUrgentRank(const share_controller &Controller) {
  // Slot-seconds per second below which a rank counts as idle.
  constexpr double LeastDemand = 0.01;
  for (std::uint8_t Rank = 0; Rank < RankCount; ++Rank) {
    for (const auto &[Organisation, Row] : Controller.Rows[Rank]) {
      if (Row.Demand >= LeastDemand) {
        return Rank;
      }
    }
  }
  return RankCount;
}

void recordArrival(share_controller &Controller, std::uint8_t Rank,
                   std::string_view Organisation, double Weight,
                   double ServiceSeconds) {
  auto &Rows = Controller.Rows[std::min<std::size_t>(Rank, RankCount - 1)];
  auto Found = Rows.find(Organisation);
  if (Found == Rows.end()) {
    bool Full = Rows.size() >= Controller.Settings.MaxOrganisations;
    Found =
        Rows.try_emplace(std::string(Full ? OverflowRow : Organisation)).first;
  }
  Found->second.Arrived += Weight * ServiceSeconds;
}

double shareOf(const share_controller &Controller, std::uint8_t Rank,
               std::string_view Organisation) {
  const auto &Rows =
      Controller.Rows[std::min<std::size_t>(Rank, RankCount - 1)];
  auto Found = Rows.find(Organisation);
  if (Found == Rows.end()) {
    Found = Rows.find(OverflowRow);
  }
  return Found == Rows.end() ? 1.0 : Found->second.Share;
}

bool advanceShares(share_controller &Controller, const window_measure &Measure,
                   const std::array<double, RankCount> &MinimumShares,
                   framework::monotonic_time Now) {
  auto Elapsed = Now - Controller.WindowStart;
  if (Elapsed < Controller.Settings.WindowLength) {
    return false;
  }
  double Seconds = std::chrono::duration<double>(Elapsed).count();
  smoothDemands(Controller, Seconds);
  correct(Controller, Measure);
  rank_demands Demands = listDemands(Controller);
  std::array<double, RankCount> Floors = MinimumShares;
  for (double &Floor : Floors) {
    Floor *= Controller.Settings.FloorMargin;
  }
  allocateCapacity(Demands, Floors, Measure.Limit * Controller.Correction);
  takeShares(Controller, Demands);
  Controller.WindowStart = Now;
  return true;
}

} // namespace figplank::admission
