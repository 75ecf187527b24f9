/// \file
/// What the nodes of one service tell each other at once: deaths of backend
/// servers and nodes that leave.
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

  /// Sends to all other nodes of the service; what does not arrive is logged.
  task<void> send(std::vector<retry::crash_report> Reports,
                  std::vector<std::string> Draining);

  /// Takes another node's notice.
  void apply(const std::vector<retry::crash_report> &Reports,
             const std::vector<std::string> &Draining);

  /// Tells the service's nodes that this one leaves.
  task<void> announceDrain();

  /// Keeps this node's own calls from choosing it as their upstream.
  void excludeSelf();

private:
  task<void> sendTo(std::string Address,
                    std::vector<retry::crash_report> Reports,
                    std::vector<std::string> Draining);

  node_runtime &Node;
  peer_pool &Peers;
};

} // namespace figplank::node
