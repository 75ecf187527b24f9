/// \file
/// Notices that the nodes of one service send each other immediately: crashes
/// of backend servers, and nodes that are draining.
#pragma once

#include "node/peers.h"
#include "retry/suspects.h"

#include <string>
#include <vector>

namespace figplank::node {

class service_notifier {
public:
  service_notifier(node_runtime &Node, peer_pool &Peers)
      : Node(Node), Peers(Peers) {}
  KJ_DISALLOW_COPY(service_notifier);

  /// Sends a notice to all other nodes of the service. Failed sends are logged
  /// and not repeated. \p Draining lists the RPC addresses of draining nodes.
  task<void> send(std::vector<retry::crash_report> Reports,
                  std::vector<std::string> Draining);

  /// Applies a notice received from another node.
  void apply(const std::vector<retry::crash_report> &Reports,
             const std::vector<std::string> &Draining);

  /// Notifies the other nodes of the service that this one is draining.
  task<void> announceDrain();

  /// Excludes this node from the upstreams of its own calls.
  void excludeSelf();

private:
  task<void> sendTo(std::string Address,
                    std::vector<retry::crash_report> Reports,
                    std::vector<std::string> Draining);

  node_runtime &Node;
  peer_pool &Peers;
};

} // namespace figplank::node
