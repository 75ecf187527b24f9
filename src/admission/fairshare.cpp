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

void setSharesInRank(std::vector<organisation_demand> &Demands,
                     double RankDemand, double RankCapacity) {
  // Rounding errors must not cause refusals in a rank whose demand fits.
  constexpr double Tolerance = 1e-9;
  bool FullyServed = RankCapacity >= RankDemand * (1.0 - Tolerance);
  double Level = FullyServed ? std::numeric_limits<double>::infinity()
                             : waterLevel(Demands, RankCapacity);
  for (organisation_demand &Demand : Demands) {
    bool Fits = Demand.Demand <= Level;
    Demand.Share =
        Fits ? 1.0 : std::max(MinAdmissionProbability, Level / Demand.Demand);
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
  double Remaining = Capacity;
  for (std::size_t I = 0; I < Sorted.size(); ++I) {
    double EqualPart = Remaining / static_cast<double>(Sorted.size() - I);
    if (Sorted[I] > EqualPart) {
      return EqualPart;
    }
    Remaining -= Sorted[I];
  }
  return std::numeric_limits<double>::infinity();
}

void allocateCapacity(rank_demands &Demands,
                      const std::array<double, RankCount> &MinimumShares,
                      double Capacity) {
  std::array<double, RankCount> RankDemands{};
  std::array<double, RankCount> RankCapacities{};
  double Remaining = Capacity;
  for (std::size_t Rank = 0; Rank < RankCount; ++Rank) {
    RankDemands[Rank] = totalDemand(Demands[Rank]);
    RankCapacities[Rank] = std::min(
        {RankDemands[Rank], MinimumShares[Rank] * Capacity, Remaining});
    Remaining -= RankCapacities[Rank];
  }
  for (std::size_t Rank = 0; Rank < RankCount; ++Rank) {
    double Extra =
        std::min(RankDemands[Rank] - RankCapacities[Rank], Remaining);
    RankCapacities[Rank] += Extra;
    Remaining -= Extra;
    setSharesInRank(Demands[Rank], RankDemands[Rank], RankCapacities[Rank]);
  }
}

} // namespace figplank::admission
