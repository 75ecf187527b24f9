#include "admission/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace figplank::admission {
namespace {

constexpr double MinLimit = 1.0;
/// Fraction of the limit that must have been in use for the limit to grow.
constexpr double MinUtilisation = 0.8;

double coldStartLimit(const limit_settings &Settings) {
  return std::max(MinLimit, Settings.Slots * Settings.ColdStartFraction);
}

void beginWindow(concurrency_limit &Limit, framework::monotonic_time Now) {
  Limit.WindowEnd = Now + Limit.Settings.WindowLength;
  Limit.PeakInFlight = Limit.InFlight;
  Limit.Completed = 0;
  Limit.Failed = 0;
  Limit.TimedOut = 0;
  Limit.ShedInWindow = false;
}

/// The factor that the ended window applies to the limit.
double windowFactor(const concurrency_limit &Limit) {
  double Ended = Limit.Completed + Limit.Failed + Limit.TimedOut;
  bool MayGrow = Ended > 0.0 || Limit.IsRamping;
  if (Limit.ShedInWindow || !MayGrow) {
    return 1.0;
  }
  const limit_settings &Settings = Limit.Settings;
  bool WasUsed = Limit.PeakInFlight >= std::floor(MinUtilisation * Limit.Limit);
  if (Ended <= 0.0) {
    return WasUsed ? Settings.GrowthFactor : 1.0;
  }
  if (Limit.Failed >= Settings.FailureThreshold * Ended &&
      Settings.DecreaseOnFailures) {
    return Settings.FailureFactor;
  }
  if (Limit.TimedOut >= Settings.FailureThreshold * Ended) {
    return Settings.TimeoutFactor;
  }
  return WasUsed ? Settings.GrowthFactor : 1.0;
}

} // namespace

concurrency_limit makeConcurrencyLimit(const limit_settings &Settings,
                                       framework::monotonic_time Now) {
  concurrency_limit Limit;
  Limit.Settings = Settings;
  Limit.Limit = coldStartLimit(Settings);
  beginWindow(Limit, Now);
  return Limit;
}

void setSlots(concurrency_limit &Limit, double Slots) {
  Limit.Settings.Slots = std::max(MinLimit, Slots);
  Limit.Limit = std::clamp(Limit.Limit, coldStartLimit(Limit.Settings),
                           Limit.Settings.Slots);
}

void resetToColdStart(concurrency_limit &Limit) {
  Limit.Limit = std::min(Limit.Limit, coldStartLimit(Limit.Settings));
  Limit.IsRamping = true;
}

bool isRamping(const concurrency_limit &Limit) {
  return Limit.IsRamping && Limit.Limit < Limit.Settings.Slots;
}

void reserveSlots(concurrency_limit &Limit, std::uint8_t Rank) {
  // Below this, reserving a whole slot would leave too few for other ranks.
  constexpr double MinLimitForReservation = 4.0;
  constexpr double ReservedFraction = 0.05;
  bool IsLargeEnough = Limit.Limit >= MinLimitForReservation;
  Limit.ReservedSlots =
      IsLargeEnough ? std::max(1.0, ReservedFraction * Limit.Limit) : 0.0;
  Limit.ReservedUpToRank = Rank;
}

bool hasFreeSlot(const concurrency_limit &Limit, std::uint8_t Rank) {
  double Available =
      Limit.Limit - (Rank > Limit.ReservedUpToRank ? Limit.ReservedSlots : 0.0);
  return Limit.InFlight + 1 <= Available;
}

void acquireSlot(concurrency_limit &Limit) {
  ++Limit.InFlight;
  Limit.PeakInFlight = std::max(Limit.PeakInFlight, Limit.InFlight);
}

void releaseSlot(concurrency_limit &Limit, run_result Result) {
  std::uint32_t Running = Limit.InFlight;
  if (Limit.InFlight > 0) {
    --Limit.InFlight;
  }
  switch (Result) {
  case run_result::Completed:
    ++Limit.Completed;
    break;
  case run_result::Failed:
    ++Limit.Failed;
    break;
  case run_result::TimedOut:
    ++Limit.TimedOut;
    break;
  case run_result::Cancelled:
    break;
  case run_result::Shed:
    if (Running < Limit.Settings.ShedMinUtilisation * Limit.Settings.Slots) {
      // NOTE Few of the server's slots are in use, so it did not shed for lack
      // of capacity, and a lower limit would not help.
      ++Limit.Failed;
    } else if (!Limit.ShedInWindow) {
      double Concurrency = std::min(Limit.Limit, static_cast<double>(Running));
      Limit.Limit = std::max(MinLimit, Concurrency * Limit.Settings.ShedFactor);
      Limit.ShedInWindow = true;
      Limit.IsRamping = false;
    }
    break;
  }
}

bool advanceLimit(concurrency_limit &Limit, framework::monotonic_time Now) {
  if (Now < Limit.WindowEnd) {
    return false;
  }
  double Factor = windowFactor(Limit);
  Limit.Limit *= Factor;
  Limit.IsRamping &= Factor >= 1.0 && Limit.Limit < Limit.Settings.Slots;
  Limit.Limit = std::clamp(Limit.Limit, MinLimit,
                           std::max(MinLimit, Limit.Settings.Slots));
  double Ended = Limit.Completed + Limit.Failed + Limit.TimedOut;
  if (Ended > 0.0) {
    Limit.FailureRate = Limit.Failed / Ended;
  }
  beginWindow(Limit, Now);
  return true;
}

} // namespace figplank::admission
