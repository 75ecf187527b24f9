/// \file
/// Since when the platform answers without a long interruption, and whether
/// entries of running instances may be missing from it.
///
/// Instances renew their entries, and the platform removes an entry that is not
/// renewed for some time. While the platform is away, no entry can be renewed;
/// after its return, running instances register again. A removal that is read
/// shortly after a return may therefore be of a running instance.
///
/// A call that fails says little about that: connections are closed and calls
/// refused while the platform serves others. What counts is the time between
/// two answers, of whichever node. Nodes therefore tell each other since when
/// and until when they know the platform to have answered.
#pragma once

#include "framework/timetypes.h"

#include <optional>

namespace figplank::membership {

/// How the platform's entries of instances expire.
struct entry_expiry {
  /// Interval at which an instance renews its entry; 0 if entries don't expire.
  framework::milliseconds RenewalInterval{0};
  /// An entry expires when it was not renewed for this many intervals.
  unsigned MaxMissedRenewals = 3;
  /// Time after a return of the platform within which running instances whose
  /// entries expired are registered again.
  framework::milliseconds ReturnTime{2'300};
};

/// A time in which the platform was never away for long enough for entries to
/// expire. It answered at both ends.
struct answering_span {
  framework::monotonic_time Begin;
  framework::monotonic_time End;
};

/// What a node knows of the platform's answers to any node, on its own
/// monotonic clock.
struct platform_presence {
  /// The latest span; nothing before the first answer.
  std::optional<answering_span> Answering;
  /// When this node learnt that the platform had returned from an older copy,
  /// which may lack entries.
  std::optional<framework::monotonic_time> CopySeen;
};

/// The latest span as a node reports it: the times since its ends.
struct presence_report {
  framework::milliseconds SinceBegin{0};
  framework::milliseconds SinceEnd{0};
};

/// The shortest time away in which an entry can expire that was renewed in time
/// before.
framework::milliseconds shortestAbsence(const entry_expiry &Expiry);

/// Records an answer at \p Now to this node. Returns whether it begins a new
/// span.
bool recordAnswer(const entry_expiry &Expiry, platform_presence &Presence,
                  framework::monotonic_time Now);

/// Whether an instance may run at \p Now although its entry was removed.
bool mayLackEntries(const entry_expiry &Expiry,
                    const platform_presence &Presence,
                    framework::monotonic_time Now);

/// What to report to another node at \p Now; nothing before the first answer.
std::optional<presence_report> reportPresence(const platform_presence &Presence,
                                              framework::monotonic_time Now);

/// Adds what another node has reported. The question was sent at \p AskedAt and
/// answered by \p Now. However long the answer took, the span adopted is not
/// longer than the one reported.
void adoptReport(const entry_expiry &Expiry, platform_presence &Presence,
                 const presence_report &Report,
                 framework::monotonic_time AskedAt,
                 framework::monotonic_time Now);

} // namespace figplank::membership
