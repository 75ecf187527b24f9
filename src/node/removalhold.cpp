#include "node/removalhold.h"

namespace figplank::node {

using configuration::published_entry;
using framework::log_level;
using framework::logEvent;
using framework::monotonic_time;

void removal_hold::recordRead(const platform_update &Update) {
  auto Before = Presence.Answering;
  bool Returned = isPresent(Update) &&
                  membership::recordAnswer(Expiry, Presence, Update.ReadAt);
  if (!Returned) {
    return;
  }
  Node.Metrics.Dissemination.PlatformReturns->Increment();
  // Without an answer before, the time away is not known.
  std::int64_t AwayMs =
      Before ? framework::inMilliseconds(Update.ReadAt - Before->End) : -1;
  logEvent(log_level::Info, "platform_returned", {{"away_ms", AwayMs}});
}

bool removal_hold::hold(std::vector<published_entry> &Entries,
                        std::uint64_t ListedAt, monotonic_time Now) {
  if (!membership::mayLackEntries(Expiry, Presence, Now)) {
    return false;
  }
  std::size_t Before = Entries.size();
  configuration::holdRemovals(Held, Entries, ListedAt);
  dissemination_counters &Metrics = Node.Metrics.Dissemination;
  Metrics.RemovalsHeld->Increment(static_cast<double>(Before - Entries.size()));
  Metrics.HeldRemovals->Set(static_cast<double>(Held.Removals.size()));
  return true;
}

configuration::held_removals removal_hold::takeDue(monotonic_time Now) {
  if (configuration::isEmpty(Held) ||
      membership::mayLackEntries(Expiry, Presence, Now)) {
    return {};
  }
  Node.Metrics.Dissemination.HeldRemovals->Set(0);
  logEvent(log_level::Info, "removals_released",
           {{"count", static_cast<std::uint64_t>(Held.Removals.size())}});
  return configuration::takeHeld(Held);
}

} // namespace figplank::node
