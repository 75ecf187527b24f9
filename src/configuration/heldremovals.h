/// \file
/// Removals of instances that are not applied yet, because the instances may
/// run although the platform lists them no more; see membership/presence.h. An
/// instance that is listed again has an entry of a higher revision than its
/// removal, and stays when the removals are released.
#pragma once

#include "configuration/store.h"

#include <vector>

namespace figplank::configuration {

struct held_removals {
  /// The newest removal of each instance, by key.
  text_map<published_entry> Removals;
  /// Revision of the newest listing whose missing instances are held; 0 for
  /// none.
  std::uint64_t ListedAt = 0;
};

/// Whether nothing is held.
bool isEmpty(const held_removals &Held);

/// Moves the removals of instances from \p Entries to \p Held. Drops those that
/// a newer entry in \p Entries overtakes. \p ListedAt is the revision of the
/// listing that \p Entries come from, 0 for none.
void holdRemovals(held_removals &Held, std::vector<published_entry> &Entries,
                  std::uint64_t ListedAt);

/// Returns what was held; \p Held is empty after it.
held_removals takeHeld(held_removals &Held);

} // namespace figplank::configuration
