/// \file
/// Measures the demand at one upstream and sets the organisations' shares so
/// that the admitted demand fits the upstream's capacity.
#pragma once

#include "admission/fairshare.h"
#include "configuration/store.h"
#include "framework/timetypes.h"

#include <array>
#include <string_view>

namespace figplank::admission {

struct share_settings {
  framework::milliseconds WindowLength{100};
  /// Weight of the newest window in the exponentially smoothed demand.
  double Smoothing = 0.3;
  /// Standing delay of the queue above which the admitted demand is reduced.
  framework::milliseconds TargetDelay{10};
  /// Factors on the correction per window: while the standing delay exceeds the
  /// target, and while requests are refused without any standing delay.
  double DecreaseFactor = 0.95;
  double IncreaseFactor = 1.01;
  /// Used instead of IncreaseFactor if part of the limit was idle throughout
  /// the window.
  double IdleIncreaseFactor = 1.15;
  /// Fraction of the limit; a window whose peak concurrency stayed below it
  /// counts as partly idle.
  double IdleFraction = 0.8;
  double MinCorrection = 0.5;
  double MaxCorrection = 1.3;
  /// Factor on the minimum shares, to make up for admitted requests that are
  /// refused or fail further down the call chain.
  double MinimumShareMargin = 1.5;
  /// Smoothed demand below which an organisation's row is removed.
  double MinTrackedDemand = 1e-4;
  /// Organisations with a row of their own per rank; all others share one row.
  std::size_t MaxOrganisations = 1000;
};

/// Demand and share of one organisation in one rank.
struct demand_row {
  /// Demand that arrived since the window began.
  double ArrivedSlotSeconds = 0.0;
  /// Slot-seconds per second, smoothed.
  double Demand = 0.0;
  double Share = 1.0;
};

struct share_controller {
  share_settings Settings;
  std::array<configuration::text_map<demand_row>, RankCount> Rows;
  /// Factor on the capacity. It compensates for load that the measured service
  /// times do not show.
  double CapacityCorrection = 1.0;
  framework::monotonic_time WindowStart;
  /// Whether any share is below 1.
  bool IsRefusing = false;
};

/// Measurements of the node for the window that ends.
struct window_measurement {
  /// Limit on concurrent requests.
  double Limit = 1.0;
  /// The shortest queueing delay in the window, of the rank where it is
  /// longest. It shows a queue that never empties and, unlike a mean, is not
  /// raised by a short burst (CoDel; Nichols and Jacobson, 2012).
  framework::microseconds StandingDelay{0};
  /// Peak concurrency in the window. By default so high that no part of the
  /// limit counts as idle.
  double PeakInFlight = 1e9;
};

share_controller makeShareController(const share_settings &Settings,
                                     framework::monotonic_time Now);

/// The most urgent rank with demand; RankCount if no rank has any.
std::uint8_t mostUrgentRank(const share_controller &Controller);

/// Adds the demand of one arrival, which represents \p Weight requests with a
/// service time of \p ServiceSeconds each.
void recordArrival(share_controller &Controller, std::uint8_t Rank,
                   std::string_view Organisation, double Weight,
                   double ServiceSeconds);

/// The current share of the organisation, or of the row for organisations
/// beyond MaxOrganisations; 1 if neither has a row.
double shareOf(const share_controller &Controller, std::uint8_t Rank,
               std::string_view Organisation);

/// Sets new shares and begins a new window if the current one is over at
/// \p Now. Returns whether it was over.
bool advanceShares(share_controller &Controller,
                   const window_measurement &Measurement,
                   const std::array<double, RankCount> &MinimumShares,
                   framework::monotonic_time Now);

} // namespace figplank::admission
