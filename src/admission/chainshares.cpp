#include "admission/chainshares.h"

#include "admission/fairshare.h"

#include <algorithm>
#include <cmath>

namespace figplank::admission {
namespace {

using framework::monotonic_time;

/// Weight of the newest interval in the smoothed time between answers.
constexpr double IntervalSmoothing = 0.2;
/// Share above which a row is removed.
constexpr double RemovalThreshold = 0.999;

double secondsBetween(monotonic_time From, monotonic_time To) {
  return std::chrono::duration<double>(To - From).count();
}

/// Time without an answer, in seconds, after which \p Row grows back.
double staleAfterSeconds(const chain_share_settings &Settings,
                         const chain_share &Row) {
  double Min = std::chrono::duration<double>(Settings.StaleAfter).count();
  double Max = std::chrono::duration<double>(Settings.MaxStaleAfter).count();
  return std::clamp(Settings.StaleAfterIntervals * Row.IntervalSeconds, Min,
                    std::max(Min, Max));
}

/// Weight of an answer that comes \p Seconds after the one before it.
double answerWeight(const chain_share_settings &Settings, double Seconds) {
  double SmoothingSeconds =
      std::chrono::duration<double>(Settings.SmoothingTime).count();
  return std::max(Settings.MinSmoothing,
                  1.0 - std::exp(-Seconds / SmoothingSeconds));
}

/// The row of the pair, added if \p Share is worth a row; null otherwise.
chain_share *findOrAddRow(chain_shares &Shares, std::string_view Template,
                          std::string_view Organisation, double Share,
                          monotonic_time Now) {
  auto TemplateRows = Shares.Rows.find(Template);
  if (TemplateRows == Shares.Rows.end()) {
    TemplateRows = Shares.Rows.try_emplace(std::string(Template)).first;
  }
  auto Found = TemplateRows->second.find(Organisation);
  if (Found == TemplateRows->second.end()) {
    if (Share >= 1.0 || Shares.RowCount >= Shares.Settings.MaxRows) {
      return nullptr;
    }
    Found = TemplateRows->second.try_emplace(std::string(Organisation)).first;
    Found->second.Updated = Now;
    ++Shares.RowCount;
  }
  return &Found->second;
}

void removeRow(chain_shares &Shares, std::string_view Template,
               std::string_view Organisation) {
  auto &TemplateRows = Shares.Rows.find(Template)->second;
  TemplateRows.erase(TemplateRows.find(Organisation));
  --Shares.RowCount;
}

} // namespace

void recordChainShare(chain_shares &Shares, std::string_view Template,
                      std::string_view Organisation, double Share,
                      monotonic_time Now) {
  chain_share *Row = findOrAddRow(Shares, Template, Organisation, Share, Now);
  if (Row == nullptr) {
    return;
  }
  double Seconds = secondsBetween(Row->Updated, Now);
  Row->Share += answerWeight(Shares.Settings, Seconds) *
                (std::clamp(Share, MinAdmissionProbability, 1.0) - Row->Share);
  Row->IntervalSeconds += IntervalSmoothing * (Seconds - Row->IntervalSeconds);
  Row->Updated = Now;
  if (Row->Share > RemovalThreshold) {
    removeRow(Shares, Template, Organisation);
  }
}

double chainShareOf(const chain_shares &Shares, std::string_view Template,
                    std::string_view Organisation, monotonic_time Now) {
  auto TemplateRows = Shares.Rows.find(Template);
  if (TemplateRows == Shares.Rows.end()) {
    return 1.0;
  }
  auto Found = TemplateRows->second.find(Organisation);
  if (Found == TemplateRows->second.end()) {
    return 1.0;
  }
  const chain_share &Row = Found->second;
  double StaleSeconds = secondsBetween(Row.Updated, Now) -
                        staleAfterSeconds(Shares.Settings, Row);
  if (StaleSeconds <= 0.0) {
    return Row.Share;
  }
  return std::min(
      1.0, Row.Share * std::pow(Shares.Settings.GrowthPerSecond, StaleSeconds));
}

bool isAdmitted(double Draw, double Share, std::uint8_t Depth) {
  double Margin = Depth > 0 ? NestedCallMargin : 1.0;
  return Share >= 1.0 || Draw < Share * Margin;
}

} // namespace figplank::admission
