/// \file
/// The HTTP port for operators, which serves /metrics and /status.
#pragma once

#include "node/dissemination.h"
#include "node/mailbox.h"
#include "node/upstream.h"

#include <memory>
#include <string>
#include <thread>

namespace httplib {
class Server;
}

namespace figplank::node {

/// The node's state as JSON: condition, revision, refused entries, limits,
/// upstreams and suspects.
std::string formatStatus(const node_runtime &Node,
                         const upstream_service &Upstream,
                         const disseminator &Dissemination);

class admin_server {
public:
  /// \p Status returns the body of /status. It is called on the event loop.
  admin_server(const node_runtime &Node, mailbox &Mailbox,
               const std::function<std::string()> &Status);
  ~admin_server();
  admin_server(const admin_server &) = delete;
  admin_server &operator=(const admin_server &) = delete;

  /// Accepts no further connections. Open ones end within two seconds, and the
  /// destructor waits for that.
  void stop();

private:
  std::unique_ptr<httplib::Server> Server;
  std::thread Thread;
};

} // namespace figplank::node
