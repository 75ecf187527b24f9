/// \file
/// Connections to the backend server for requests of routes, which pass
/// unchanged.
#pragma once

#include "http/client.h"
#include "node/dialect.h"
#include "node/runtime.h"

#include <deque>

namespace figplank::node {

class forward_pool {
public:
  forward_pool(node_runtime &Node, const wire_dialect &Dialect)
      : Node(Node), Dialect(Dialect) {}
  KJ_DISALLOW_COPY(forward_pool);

  /// Sends \p Request with \p RemainingMs left. Dropping the promise closes the
  /// connection, which tells the backend server to stop.
  task<backend_answer> send(const work_request &Request,
                            std::uint32_t RemainingMs);

  /// Connections made so far.
  std::uint64_t connects() const { return Connects; }

  void dropIdle() { Idle.clear(); }

private:
  struct idle_connection {
    kj::Own<http::client_connection> Connection;
    framework::monotonic_time Since;
    framework::monotonic_time UsableUntil;
  };

  task<kj::Own<http::client_connection>> acquire(bool Idempotent);
  void release(kj::Own<http::client_connection> Connection,
               const http::header_list &Headers);

  node_runtime &Node;
  const wire_dialect &Dialect;
  std::deque<idle_connection> Idle;
  std::uint64_t Connects = 0;
};

} // namespace figplank::node
