#include "admission/chainfeedback.h"

#include "admission/fairshare.h"

#include <algorithm>
#include <cmath>

namespace figplank::admission {
namespace {

using framework::monotonic_time;

bool isWindowOver(const chain_feedback_settings &Settings,
                  const chain_feedback_row &Row, monotonic_time Now) {
  auto Elapsed = Now - Row.WindowStart;
  bool Sufficient =
      Row.Runs >= Settings.MinRuns && Elapsed >= Settings.MinWindow;
  return Sufficient || Elapsed >= Settings.MaxWindow;
}

void updateShare(const chain_feedback_settings &Settings,
                 chain_feedback_row &Row, monotonic_time Now) {
  double Fraction = Row.TurnedAway / Row.Runs;
  double Entered = Row.EntrySum / Row.Runs;
  if (Fraction > Settings.Tolerance) {
    Row.Share = std::max(MinAdmissionProbability, Entered * (1.0 - Fraction));
    Row.Lowered = Now;
    return;
  }
  bool Held = Now - Row.Lowered < Settings.HoldTime;
  double GrowthPerSecond =
      Held ? Settings.InitialGrowthPerSecond : Settings.GrowthPerSecond;
  double Seconds = std::chrono::duration<double>(Now - Row.WindowStart).count();
  Row.Share = std::min(1.0, Row.Share * std::pow(GrowthPerSecond, Seconds));
}

void beginWindow(chain_feedback_row &Row, monotonic_time Now) {
  Row.Runs = 0.0;
  Row.TurnedAway = 0.0;
  Row.EntrySum = 0.0;
  Row.WindowStart = Now;
}

void removeUnusedRows(chain_feedback &Feedback, monotonic_time Now) {
  std::erase_if(Feedback.Rows, [&](const auto &Entry) {
    return Now - Entry.second.WindowStart > Feedback.Settings.RowLifetime;
  });
}

} // namespace

void recordRun(chain_feedback &Feedback, std::string_view Kind,
               double EntryProbability, bool TurnedAway, monotonic_time Now) {
  auto Found = Feedback.Rows.find(Kind);
  if (Found == Feedback.Rows.end()) {
    if (!TurnedAway) {
      return;
    }
    if (Feedback.Rows.size() >= Feedback.Settings.MaxRows) {
      removeUnusedRows(Feedback, Now);
    }
    if (Feedback.Rows.size() >= Feedback.Settings.MaxRows) {
      return;
    }
    // The first run is not counted, as rows are added only for runs that were
    // turned away and the first window would always contain one.
    Feedback.Rows.try_emplace(std::string(Kind)).first->second.WindowStart =
        Now;
    return;
  }
  chain_feedback_row &Row = Found->second;
  Row.Runs += 1.0;
  Row.TurnedAway += TurnedAway ? 1.0 : 0.0;
  Row.EntrySum += std::clamp(EntryProbability, MinAdmissionProbability, 1.0);
  if (!isWindowOver(Feedback.Settings, Row, Now)) {
    return;
  }
  updateShare(Feedback.Settings, Row, Now);
  beginWindow(Row, Now);
  if (Row.Share >= 1.0) {
    Feedback.Rows.erase(Found);
  }
}

double feedbackShareOf(const chain_feedback &Feedback, std::string_view Kind,
                       monotonic_time Now) {
  auto Found = Feedback.Rows.find(Kind);
  if (Found == Feedback.Rows.end()) {
    return 1.0;
  }
  // Without runs no answer carries the share either, so it is probed again.
  bool Unused = Now - Found->second.WindowStart > Feedback.Settings.RowLifetime;
  return Unused ? 1.0 : Found->second.Share;
}

} // namespace figplank::admission
