#include "admission/sharecontroller.h"

#include <algorithm>

namespace figplank::admission {
namespace {

/// Key of the row shared by the organisations beyond MaxOrganisations.
constexpr std::string_view OverflowKey = "*";

void smoothDemands(share_controller &Controller, double Seconds) {
  const share_settings &Settings = Controller.Settings;
  for (auto &Rows : Controller.Rows) {
    for (auto &[Organisation, Row] : Rows) {
      double Measured = Row.ArrivedSlotSeconds / Seconds;
      Row.Demand += Settings.Smoothing * (Measured - Row.Demand);
      Row.ArrivedSlotSeconds = 0.0;
    }
    std::erase_if(Rows, [&](const auto &Entry) {
      return Entry.second.Demand < Settings.MinTrackedDemand;
    });
  }
}

void updateCapacityCorrection(share_controller &Controller,
                              const window_measurement &Measurement) {
  const share_settings &Settings = Controller.Settings;
  if (Measurement.StandingDelay > Settings.TargetDelay) {
    Controller.CapacityCorrection *= Settings.DecreaseFactor;
  } else if (Controller.IsRefusing && Measurement.StandingDelay.count() == 0) {
    bool IsIdle =
        Measurement.PeakInFlight < Settings.IdleFraction * Measurement.Limit;
    Controller.CapacityCorrection *=
        IsIdle ? Settings.IdleIncreaseFactor : Settings.IncreaseFactor;
  } else if (!Controller.IsRefusing) {
    Controller.CapacityCorrection +=
        Settings.Smoothing * (1.0 - Controller.CapacityCorrection);
  }
  Controller.CapacityCorrection =
      std::clamp(Controller.CapacityCorrection, Settings.MinCorrection,
                 Settings.MaxCorrection);
}

rank_demands collectDemands(const share_controller &Controller) {
  rank_demands Demands;
  for (std::size_t Rank = 0; Rank < RankCount; ++Rank) {
    for (const auto &[Organisation, Row] : Controller.Rows[Rank]) {
      Demands[Rank].push_back({Organisation, Row.Demand, 1.0});
    }
  }
  return Demands;
}

void storeShares(share_controller &Controller, const rank_demands &Demands) {
  Controller.IsRefusing = false;
  for (std::size_t Rank = 0; Rank < RankCount; ++Rank) {
    for (const organisation_demand &Demand : Demands[Rank]) {
      Controller.Rows[Rank].find(Demand.Organisation)->second.Share =
          Demand.Share;
      Controller.IsRefusing |= Demand.Share < 1.0;
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
  constexpr double MinDemand = 0.01;
  for (std::uint8_t Rank = 0; Rank < RankCount; ++Rank) {
    for (const auto &[Organisation, Row] : Controller.Rows[Rank]) {
      if (Row.Demand >= MinDemand) {
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
    bool IsFull = Rows.size() >= Controller.Settings.MaxOrganisations;
    Found = Rows.try_emplace(std::string(IsFull ? OverflowKey : Organisation))
                .first;
  }
  Found->second.ArrivedSlotSeconds += Weight * ServiceSeconds;
}

double shareOf(const share_controller &Controller, std::uint8_t Rank,
               std::string_view Organisation) {
  const auto &Rows =
      Controller.Rows[std::min<std::size_t>(Rank, RankCount - 1)];
  auto Found = Rows.find(Organisation);
  if (Found == Rows.end()) {
    Found = Rows.find(OverflowKey);
  }
  return Found == Rows.end() ? 1.0 : Found->second.Share;
}

bool advanceShares(share_controller &Controller,
                   const window_measurement &Measurement,
                   const std::array<double, RankCount> &MinimumShares,
                   framework::monotonic_time Now) {
  auto Elapsed = Now - Controller.WindowStart;
  if (Elapsed < Controller.Settings.WindowLength) {
    return false;
  }
  double Seconds = std::chrono::duration<double>(Elapsed).count();
  smoothDemands(Controller, Seconds);
  updateCapacityCorrection(Controller, Measurement);
  rank_demands Demands = collectDemands(Controller);
  std::array<double, RankCount> ScaledMinimumShares = MinimumShares;
  for (double &Minimum : ScaledMinimumShares) {
    Minimum *= Controller.Settings.MinimumShareMargin;
  }
  allocateCapacity(Demands, ScaledMinimumShares,
                   Measurement.Limit * Controller.CapacityCorrection);
  storeShares(Controller, Demands);
  Controller.WindowStart = Now;
  return true;
}

} // namespace figplank::admission
