/// \file
/// Measures the demand at one upstream and sets the shares that fit it.
#pragma once

#include "admission/fairshare.h"
#include "configuration/store.h"
#include "framework/timetypes.h"

#include <array>
#include <string_view>

namespace figplank::admission {

struct share_settings {
  framework::milliseconds WindowLength{100};
  /// Weight of the newest window in the smoothed demand.
  double Smoothing = 0.3;
  /// Standing delay of the queue above which less is admitted.
  framework::milliseconds TargetDelay{10};
  /// Change of the correction per window.
  double DecreaseFactor = 0.95;
  double IncreaseFactor = 1.01;
  /// Change while much of the limit was idle for a whole window.
  double IdleIncreaseFactor = 1.15;
  /// Part of the limit below which it counts as idle.
  double IdleFraction = 0.8;
  double LeastCorrection = 0.5;
  double MostCorrection = 1.3;
  /// Room above a minimum share for what the chain loses between admission
  /// and the whole answer.
  double FloorMargin = 1.5;
  /// Organisations without demand are forgotten below this demand.
  double ForgetBelow = 1e-4;
  /// Organisations kept per rank; others share one row.
  std::size_t MaxOrganisations = 1000;
};

/// One organisation's row.
struct demand_row {
  /// Slot-seconds that arrived since the window began.
  double Arrived = 0.0;
  /// Slot-seconds per second, smoothed.
  double Demand = 0.0;
  double Share = 1.0;
};

struct share_controller {
  share_settings Settings;
  std::array<configuration::text_map<demand_row>, RankCount> Rows;
  /// Corrects the capacity for what the measured service times miss.
  double Correction = 1.0;
  framework::monotonic_time WindowStart;
  bool Refusing = false;
};

/// What the node measured in the window that ends.
struct window_measure {
  /// Concurrent requests allowed.
  double Limit = 1.0;
  /// The shortest wait of a request that began in the window: a queue that
  /// never empties, rather than a burst (CoDel; Nichols and Jacobson, 2012).
  framework::microseconds StandingDelay{0};
  /// Most concurrent requests in the window; by default none is idle.
  double PeakInFlight = 1e9;
};

share_controller makeShareController(const share_settings &Settings,
                                     framework::monotonic_time Now);

/// The most urgent rank with demand, RankCount if there is none.
std::uint8_t mostUrgentRank(const share_controller &Controller);

/// Counts an arrival that stands for \p Weight requests of
/// \p ServiceSeconds each.
void recordArrival(share_controller &Controller, std::uint8_t Rank,
                   std::string_view Organisation, double Weight,
                   double ServiceSeconds);

/// The share of the organisation's demand that is admitted now.
double shareOf(const share_controller &Controller, std::uint8_t Rank,
               std::string_view Organisation);

/// Ends the window if it is over and sets new shares. Returns whether it did.
bool advanceShares(share_controller &Controller, const window_measure &Measure,
                   const std::array<double, RankCount> &MinimumShares,
                   framework::monotonic_time Now);

} // namespace figplank::admission
