/// \file
/// Distinguishes a crash of the backend server from the loss of a single
/// connection.
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

  /// Called for a run whose connection was lost. Returns whether the backend
  /// server has crashed. If so, all requests whose connections were lost in the
  /// crash are now suspects and the other nodes of the service were notified.
  task<bool> confirmCrash(retry::fingerprint Fingerprint);

private:
  task<bool> checkBackend();

  node_runtime &Node;
  backend_client &Backend;
  service_notifier &Notifier;
  /// Fingerprints of the requests whose connections were lost since the last
  /// check.
  std::vector<retry::fingerprint> LostFingerprints;
  kj::Maybe<kj::ForkedPromise<bool>> CrashCheck;
  /// Id of the last crash, and the number of connections opened until then. A
  /// loss reported later, without a new connection since, belongs to the same
  /// crash.
  std::uint64_t OutageId = 0;
  std::uint64_t ConnectionsAtOutage = 0;
};

} // namespace figplank::node
