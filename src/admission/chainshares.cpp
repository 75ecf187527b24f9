#include "admission/chainshares.h"

#include "admission/fairshare.h"

#include <algorithm>
#include <cmath>

namespace figplank::admission {

void recordShare(chain_shares &Shares, std::string_view Template,
                 std::string_view Organisation, double Share,
                 framework::monotonic_time Now) {
  auto Outer = Shares.Rows.find(Template);
  if (Outer == Shares.Rows.end()) {
    Outer = Shares.Rows.try_emplace(std::string(Template)).first;
  }
  auto Inner = Outer->second.find(Organisation);
  if (Inner == Outer->second.end()) {
    if (Share >= 1.0 || Shares.Size >= Shares.Settings.MaxRows) {
      return;
    }
    Inner = Outer->second.try_emplace(std::string(Organisation)).first;
    ++Shares.Size;
  }
  chain_share &Row = Inner->second;
  Row.Share += Shares.Settings.Smoothing *
               (std::clamp(Share, LeastShare, 1.0) - Row.Share);
  Row.Updated = Now;
  constexpr double NearlyWhole = 0.999;
  if (Row.Share > NearlyWhole) {
    Outer->second.erase(Inner);
    --Shares.Size;
  }
}

double chainShareOf(const chain_shares &Shares, std::string_view Template,
                    std::string_view Organisation,
                    framework::monotonic_time Now) {
  auto Outer = Shares.Rows.find(Template);
  if (Outer == Shares.Rows.end()) {
    return 1.0;
  }
  auto Inner = Outer->second.find(Organisation);
  if (Inner == Outer->second.end()) {
    return 1.0;
  }
  auto Stale = Now - Inner->second.Updated - Shares.Settings.StaleAfter;
  if (Stale.count() <= 0) {
    return Inner->second.Share;
  }
  double Seconds = std::chrono::duration<double>(Stale).count();
  return std::min(1.0, Inner->second.Share *
                           std::pow(Shares.Settings.GrowthPerSecond, Seconds));
}

bool isAdmitted(double Draw, double Share, std::uint8_t Depth) {
  double Margin = Depth > 0 ? InvestedMargin : 1.0;
  return Share >= 1.0 || Draw < Share * Margin;
}

} // namespace figplank::admission
