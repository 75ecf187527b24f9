/// \file
/// Decides whether this node reads the platform, and asks the readers that it
/// would take over from whether they do; see membership/readers.h.
#pragma once

#include "membership/readers.h"
#include "node/peers.h"

#include <set>
#include <string>
#include <vector>

namespace figplank::node {

class reader_duty {
public:
  reader_duty(node_runtime &Node, peer_pool &Peers);
  KJ_DISALLOW_COPY(reader_duty);

  /// Takes over the list of instances after a change.
  void updateMembers();

  /// Whether this node is one of its zone's readers. Called at every tick.
  bool isReader(framework::time_now Now);

  /// The nodes of this zone that are selected as readers at \p Now.
  std::vector<std::string> listReaders(framework::wall_time Now) const;

private:
  task<void> watchLoop();
  /// Asks the node at \p Address whether it reads the platform.
  task<void> ask(std::string Address);

  node_runtime &Node;
  peer_pool &Peers;
  /// RPC addresses of the listed instances in this node's zone, this node
  /// included.
  std::vector<std::string> Members;
  /// Number of readers of each zone.
  std::size_t ReaderCount = 1;
  std::vector<std::string> Candidates;
  framework::monotonic_time NextOrdering;
  membership::reader_health Health;
  /// Candidates with an outstanding question.
  std::set<std::string> Asked;
};

} // namespace figplank::node
