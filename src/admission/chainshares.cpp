#include "admission/chainshares.h"

#include "admission/fairshare.h"

#include <algorithm>
#include <cmath>

namespace figplank::admission {

void recordChainShare(chain_shares &Shares, std::string_view Template,
                      std::string_view Organisation, double Share,
                      framework::monotonic_time Now) {
  auto TemplateRows = Shares.Rows.find(Template);
  if (TemplateRows == Shares.Rows.end()) {
    TemplateRows = Shares.Rows.try_emplace(std::string(Template)).first;
  }
  auto Found = TemplateRows->second.find(Organisation);
  if (Found == TemplateRows->second.end()) {
    if (Share >= 1.0 || Shares.RowCount >= Shares.Settings.MaxRows) {
      return;
    }
    Found = TemplateRows->second.try_emplace(std::string(Organisation)).first;
    ++Shares.RowCount;
  }
  chain_share &Row = Found->second;
  Row.Share += Shares.Settings.Smoothing *
               (std::clamp(Share, MinAdmissionProbability, 1.0) - Row.Share);
  Row.Updated = Now;
  constexpr double RemovalThreshold = 0.999;
  if (Row.Share > RemovalThreshold) {
    TemplateRows->second.erase(Found);
    --Shares.RowCount;
  }
}

double chainShareOf(const chain_shares &Shares, std::string_view Template,
                    std::string_view Organisation,
                    framework::monotonic_time Now) {
  auto TemplateRows = Shares.Rows.find(Template);
  if (TemplateRows == Shares.Rows.end()) {
    return 1.0;
  }
  auto Found = TemplateRows->second.find(Organisation);
  if (Found == TemplateRows->second.end()) {
    return 1.0;
  }
  auto StaleFor = Now - Found->second.Updated - Shares.Settings.StaleAfter;
  if (StaleFor.count() <= 0) {
    return Found->second.Share;
  }
  double Seconds = std::chrono::duration<double>(StaleFor).count();
  return std::min(1.0, Found->second.Share *
                           std::pow(Shares.Settings.GrowthPerSecond, Seconds));
}

bool isAdmitted(double Draw, double Share, std::uint8_t Depth) {
  double Margin = Depth > 0 ? NestedCallMargin : 1.0;
  return Share >= 1.0 || Draw < Share * Margin;
}

} // namespace figplank::admission
