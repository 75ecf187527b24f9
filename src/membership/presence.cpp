#include "membership/presence.h"

#include <algorithm>

namespace figplank::membership {
namespace {

using framework::milliseconds;
using framework::monotonic_time;

milliseconds roundUp(framework::microseconds Time) {
  return std::chrono::ceil<milliseconds>(
      std::max(Time, framework::microseconds(0)));
}

/// Joins \p Span to the known one if the platform cannot have been away between
/// them for long; otherwise the later one counts. Returns whether that is
/// \p Span alone.
bool addSpan(const entry_expiry &Expiry, platform_presence &Presence,
             answering_span Span) {
  if (!Presence.Answering) {
    Presence.Answering = Span;
    return true;
  }
  answering_span &Known = *Presence.Answering;
  const milliseconds Absence = shortestAbsence(Expiry);
  bool Joined =
      Span.Begin - Known.End < Absence && Known.Begin - Span.End < Absence;
  if (Joined) {
    Known = {std::min(Known.Begin, Span.Begin), std::max(Known.End, Span.End)};
    return false;
  }
  bool IsLater = Span.End > Known.End;
  if (IsLater) {
    Known = Span;
  }
  return IsLater;
}

} // namespace

milliseconds shortestAbsence(const entry_expiry &Expiry) {
  // The last renewal may be one interval old when the platform goes away, and
  // intervals vary by up to a quarter.
  return Expiry.RenewalInterval * Expiry.MaxMissedRenewals -
         Expiry.RenewalInterval * 5 / 4;
}

bool recordAnswer(const entry_expiry &Expiry, platform_presence &Presence,
                  monotonic_time Now) {
  return addSpan(Expiry, Presence, {Now, Now});
}

bool mayLackEntries(const entry_expiry &Expiry,
                    const platform_presence &Presence, monotonic_time Now) {
  if (Expiry.RenewalInterval <= milliseconds(0)) {
    return false;
  }
  bool Returned = !Presence.Answering ||
                  Now - Presence.Answering->Begin < Expiry.ReturnTime;
  bool FromCopy =
      Presence.CopySeen && Now - *Presence.CopySeen < Expiry.ReturnTime;
  return Returned || FromCopy;
}

std::optional<presence_report> reportPresence(const platform_presence &Presence,
                                              monotonic_time Now) {
  if (!Presence.Answering) {
    return std::nullopt;
  }
  return presence_report{roundUp(Now - Presence.Answering->Begin),
                         roundUp(Now - Presence.Answering->End)};
}

void adoptReport(const entry_expiry &Expiry, platform_presence &Presence,
                 const presence_report &Report, monotonic_time AskedAt,
                 monotonic_time Now) {
  monotonic_time End = AskedAt - Report.SinceEnd;
  // Rounding must not move the beginning back a little with each report.
  constexpr milliseconds Rounding{1};
  monotonic_time Begin =
      Now - std::max(Report.SinceBegin - Rounding, milliseconds(0));
  bool IsShorterThanTheCall = Begin > End;
  if (!IsShorterThanTheCall) {
    addSpan(Expiry, Presence, {Begin, End});
  }
}

} // namespace figplank::membership
