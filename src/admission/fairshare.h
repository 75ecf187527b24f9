/// \file
/// Division of an upstream's capacity among ranks and organisations.
///
/// Demand is counted in slot-seconds per second: each arrival weighs its
/// service time, and a request that an entry let through with probability p
/// stands for 1/p arrivals (the Horvitz-Thompson estimator), so that the
/// upstream knows the demand that was refused before it arrived. Ranks are
/// served strictly in order after each has its minimum share. Within a rank
/// the organisations share by max-min fairness (water-filling).
///
/// A share is a probability. It is compared with one draw per root request,
/// which every service of the chain sees, so that all refuse the same
/// requests, as DAGOR does with its user level (Zhou et al., SoCC 2018).
#pragma once

#include "configuration/configurationtypes.h"
#include "framework/timetypes.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace figplank::admission {

using configuration::RankCount;

/// Smallest share; keeps estimates of refused demand finite.
inline constexpr double LeastShare = 0.0005;

/// Demand of one organisation in one rank, and the share it is given.
struct organisation_demand {
  std::string Organisation;
  /// Slot-seconds per second.
  double Demand = 0.0;
  double Share = 1.0;
};

using rank_demands = std::array<std::vector<organisation_demand>, RankCount>;

/// Sets each Share so that the admitted demand fits \p Capacity.
/// \p MinimumShares holds each rank's part of the capacity, 0 to 1.
void allocate(rank_demands &Demands,
              const std::array<double, RankCount> &MinimumShares,
              double Capacity);

/// The water level: the demand up to which each organisation is served when
/// \p Capacity is shared max-min fairly among \p Demands.
double waterLevel(const std::vector<organisation_demand> &Demands,
                  double Capacity);

} // namespace figplank::admission
