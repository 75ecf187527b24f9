/// \file
/// Division of an upstream's capacity among ranks and organisations.
///
/// Demand is measured in slot-seconds per second. Each arrival is weighted by
/// its service time. A request that its entry node admitted with probability p
/// counts as 1/p arrivals (the Horvitz-Thompson estimator), so that the demand
/// includes requests refused before they reached the upstream. Each rank first
/// receives up to its minimum share; the remaining capacity goes to the ranks
/// in strict priority order. Within a rank the capacity is divided among the
/// organisations by max-min fairness (water-filling).
///
/// A share is an admission probability. It is compared with one random draw
/// per root request. The draw is passed down the call chain, so that all
/// services refuse the same requests, as DAGOR does with its user priority
/// (Zhou et al., SoCC 2018).
#pragma once

#include "configuration/configurationtypes.h"
#include "framework/timetypes.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace figplank::admission {

using configuration::RankCount;

/// Lower bound of a share; keeps the estimate of refused demand (1/p) finite.
inline constexpr double MinAdmissionProbability = 0.0005;

/// Demand of one organisation in one rank, and the share allocated to it.
struct organisation_demand {
  std::string Organisation;
  /// Slot-seconds per second.
  double Demand = 0.0;
  double Share = 1.0;
};

using rank_demands = std::array<std::vector<organisation_demand>, RankCount>;

/// Sets the share of each entry of \p Demands so that the admitted demand fits
/// \p Capacity. \p MinimumShares holds the fraction of the capacity, 0 to 1,
/// that each rank is guaranteed.
void allocateCapacity(rank_demands &Demands,
                      const std::array<double, RankCount> &MinimumShares,
                      double Capacity);

/// The water level of a max-min fair division of \p Capacity: the demand up to
/// which each organisation is served. Infinite if all \p Demands fit.
double waterLevel(const std::vector<organisation_demand> &Demands,
                  double Capacity);

} // namespace figplank::admission
