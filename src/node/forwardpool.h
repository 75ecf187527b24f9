/// \file
/// Connections to the local backend server for requests of routes, whose
/// messages are forwarded unchanged.
#pragma once

#include "http/client.h"
#include "node/dialect.h"
#include "node/runtime.h"

#include <deque>
#include <optional>

namespace figplank::node {

class forward_pool {
public:
  forward_pool(node_runtime &Node, const wire_dialect &Dialect)
      : Node(Node), Dialect(Dialect) {}
  KJ_DISALLOW_COPY(forward_pool);

  /// Sends \p Request with \p RemainingMs left. Dropping the promise closes the
  /// connection, which makes the backend server cancel the request.
  task<backend_answer> send(const work_request &Request,
                            std::uint32_t RemainingMs);

  /// Number of connections opened so far.
  std::uint64_t connectionsOpened() const { return ConnectionsOpened; }

  void closeIdleConnections() { IdleConnections.clear(); }

  /// Closes the idle connections that can carry no further request.
  void closeUnusableConnections(framework::monotonic_time Now);

private:
  struct pooled_connection {
    kj::Own<http::client_connection> Connection;
    /// Any answer on it was a refusal. It need not name its request, so a late
    /// second copy of it could be taken for the answer to another request.
    bool CarriedRefusal = false;
  };
  struct idle_connection {
    pooled_connection Pooled;
    framework::monotonic_time IdleSince;
    framework::monotonic_time UsableUntil;
  };

  /// Takes an idle connection that may carry the next request; none if there is
  /// no such connection.
  std::optional<pooled_connection> takeIdle(bool Idempotent,
                                            framework::monotonic_time Now);
  task<pooled_connection> acquire(bool Idempotent);
  void release(pooled_connection Pooled, const http::header_list &Headers);

  node_runtime &Node;
  const wire_dialect &Dialect;
  std::deque<idle_connection> IdleConnections;
  std::uint64_t ConnectionsOpened = 0;
};

} // namespace figplank::node
