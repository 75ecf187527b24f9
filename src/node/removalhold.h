/// \file
/// Holds removals of instances back for as long as the platform may lack
/// entries of instances that run; see membership/presence.h.
#pragma once

#include "configuration/heldremovals.h"
#include "membership/presence.h"
#include "node/platformreader.h"
#include "node/runtime.h"

#include <optional>
#include <vector>

namespace figplank::node {

class removal_hold {
public:
  removal_hold(node_runtime &Node, membership::entry_expiry Expiry)
      : Node(Node), Expiry(Expiry) {}
  KJ_DISALLOW_COPY(removal_hold);

  /// Records a read of the platform.
  void recordRead(const platform_update &Update);
  /// Records that the platform has returned from an older copy.
  void recordCopy(framework::monotonic_time Now) { Presence.CopySeen = Now; }
  /// Forgets the platform's answers after a pause, which the clock may not have
  /// counted.
  void forgetAnswers() { Presence.Answering.reset(); }

  /// What this node knows of the platform's answers, for other nodes.
  std::optional<membership::presence_report>
  report(framework::monotonic_time Now) const {
    return membership::reportPresence(Presence, Now);
  }
  /// Adopts the report of another node to a question sent at \p AskedAt.
  void adopt(const membership::presence_report &Report,
             framework::monotonic_time AskedAt, framework::monotonic_time Now) {
    membership::adoptReport(Expiry, Presence, Report, AskedAt, Now);
  }

  /// Takes the removals of instances out of \p Entries while the platform may
  /// lack entries. Returns whether it may. \p ListedAt is the revision of the
  /// listing that \p Entries come from, 0 for none.
  bool hold(std::vector<configuration::published_entry> &Entries,
            std::uint64_t ListedAt, framework::monotonic_time Now);
  /// Returns what was held if the platform lacks nothing any more, else
  /// nothing.
  configuration::held_removals takeDue(framework::monotonic_time Now);

private:
  node_runtime &Node;
  membership::entry_expiry Expiry;
  membership::platform_presence Presence;
  configuration::held_removals Held;
};

} // namespace figplank::node
