/// \file
/// The share of requests that a call chain can complete, measured by the runs
/// that fail because a call further down was turned away.
///
/// Load pattern: metastable overload of a chain. Where the last service is
/// short of room, each request that it turns away has already used the services
/// before it, and their repeated calls add to the load. The services before it
/// have room, so their own shares stay at 1. The feedback lowers the share at
/// which requests enter, until those that enter are completed.
///
/// A run that entered with probability p and of whose like a fraction f was
/// turned away shows that the chain can carry the share p * (1 - f). This is an
/// estimate for the moment at which the request entered, so it does not
/// compound while requests that entered before the last change still end.
#pragma once

#include "configuration/store.h"
#include "framework/timetypes.h"

#include <string_view>

namespace figplank::admission {

struct chain_feedback_settings {
  /// Runs after which a window ends, and the time that it lasts at least and at
  /// most.
  double MinRuns = 16.0;
  framework::milliseconds MinWindow{100};
  framework::milliseconds MaxWindow{1'000};
  /// Fraction of turned away runs that does not lower the share.
  double Tolerance = 0.03;
  /// Factor on the share per second while runs are not turned away: at first
  /// the lower one, as the chain can probably carry little more, and after
  /// HoldTime without a turned away run the higher one.
  double InitialGrowthPerSecond = 1.22;
  double GrowthPerSecond = 4.0;
  framework::milliseconds HoldTime{2'200};
  /// Time without runs after which a row is removed.
  framework::milliseconds RowLifetime{5'000};
  std::size_t MaxRows = 20'000;
};

/// Runs of one kind.
struct chain_feedback_row {
  double Share = 1.0;
  /// When the share was lowered last.
  framework::monotonic_time Lowered;
  /// Runs of the current window, those turned away, and the sum of the
  /// probabilities with which they entered.
  double Runs = 0.0;
  double TurnedAway = 0.0;
  double EntrySum = 0.0;
  framework::monotonic_time WindowStart;
};

struct chain_feedback {
  chain_feedback_settings Settings;
  /// By kind of request.
  configuration::text_map<chain_feedback_row> Rows;
};

/// Records the end of a run of \p Kind that entered with the probability
/// \p EntryProbability. \p TurnedAway says that a call made for it was refused
/// for lack of room.
void recordRun(chain_feedback &Feedback, std::string_view Kind,
               double EntryProbability, bool TurnedAway,
               framework::monotonic_time Now);

/// The share of requests of \p Kind to admit; 1 if no run was turned away.
double feedbackShareOf(const chain_feedback &Feedback, std::string_view Kind,
                       framework::monotonic_time Now);

} // namespace figplank::admission
