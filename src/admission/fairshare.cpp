#include "admission/fairshare.h"

#include <algorithm>
#include <limits>

namespace figplank::admission {
namespace {

double totalDemand(const std::vector<organisation_demand> &Demands) {
  double Total = 0.0;
  for (const organisation_demand &Demand : Demands) {
    Total += Demand.Demand;
  }
  return Total;
}

void shareWithinRank(std::vector<organisation_demand> &Demands, double Wanted,
                     double Given) {
  // Rounding must not turn a rank that is served whole into a refused one.
  constexpr double Tolerance = 1e-9;
  bool Whole = Given >= Wanted * (1.0 - Tolerance);
  double Level = Whole ? std::numeric_limits<double>::infinity()
                       : waterLevel(Demands, Given);
  for (organisation_demand &Demand : Demands) {
    bool Fits = Demand.Demand <= Level;
    Demand.Share = Fits ? 1.0 : std::max(LeastShare, Level / Demand.Demand);
  }
}

} // namespace

double waterLevel(const std::vector<organisation_demand> &Demands,
                  double Capacity) {
  std::vector<double> Sorted;
  Sorted.reserve(Demands.size());
  for (const organisation_demand &Demand : Demands) {
    Sorted.push_back(Demand.Demand);
  }
  std::sort(Sorted.begin(), Sorted.end());
  double Left = Capacity;
  for (std::size_t I = 0; I < Sorted.size(); ++I) {
    double Equal = Left / static_cast<double>(Sorted.size() - I);
    if (Sorted[I] > Equal) {
      return Equal;
    }
    Left -= Sorted[I];
  }
  return std::numeric_limits<double>::infinity();
}

void allocate(rank_demands &Demands,
              const std::array<double, RankCount> &MinimumShares,
              double Capacity) {
  std::array<double, RankCount> Wanted{};
  std::array<double, RankCount> Given{};
  double Left = Capacity;
  for (std::size_t Rank = 0; Rank < RankCount; ++Rank) {
    Wanted[Rank] = totalDemand(Demands[Rank]);
    Given[Rank] =
        std::min({Wanted[Rank], MinimumShares[Rank] * Capacity, Left});
    Left -= Given[Rank];
  }
  for (std::size_t Rank = 0; Rank < RankCount; ++Rank) {
    double More = std::min(Wanted[Rank] - Given[Rank], Left);
    Given[Rank] += More;
    Left -= More;
    shareWithinRank(Demands[Rank], Wanted[Rank], Given[Rank]);
  }
}

} // namespace figplank::admission
