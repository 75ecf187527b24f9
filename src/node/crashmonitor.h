/// \file
/// Tells the death of the backend server from the loss of one connection.
#pragma once

#include "node/backend.h"
#include "node/notices.h"

#include <vector>

namespace figplank::node {

class crash_monitor {
public:
  crash_monitor(node_runtime &Node, backend_client &Backend,
                service_notifier &Notifier)
      : Node(Node), Backend(Backend), Notifier(Notifier) {}
  KJ_DISALLOW_COPY(crash_monitor);

  /// Called by a run whose connection was lost. Returns whether the backend
  /// server has died; then every run that was lost with it has become a
  /// suspect, and the service's nodes know.
  task<bool> confirmCrash(retry::fingerprint Fingerprint);

private:
  task<bool> check();

  node_runtime &Node;
  backend_client &Backend;
  service_notifier &Notifier;
  /// Fingerprints whose connections were lost since the last check.
  std::vector<retry::fingerprint> Lost;
  kj::Maybe<kj::ForkedPromise<bool>> CrashCheck;
  /// The last death, and the connections made until then. Losses that are
  /// found later, without a new connection since, belong to the same death.
  std::uint64_t OutageId = 0;
  std::uint64_t ConnectsAtOutage = 0;
};

} // namespace figplank::node
