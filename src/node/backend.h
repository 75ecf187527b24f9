/// \file
/// Requests to the local backend server.
///
/// A connection carries one request at a time and returns to the pool only
/// after its answer was read completely, so that an answer cannot be matched to
/// the wrong request.
#pragma once

#include "http/client.h"
#include "node/runtime.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace figplank::node {

/// A request of a template, as sent to the backend server.
struct backend_request {
  std::string Path;
  std::string ContentType;
  http::shared_body Body;
  /// Token that the backend server sends with the calls that it makes.
  std::string Context;
  /// Text form of the request id; empty if there is none.
  std::string IdempotencyKey;
  std::string Organisation;
  std::uint8_t Rank = 0;
  std::uint32_t RemainingMs = 0;
};

enum class backend_result : std::uint8_t {
  /// A complete answer was received.
  Answered,
  /// The backend server reports that it did not start the request.
  Shed,
  /// Another incarnation uses the address and did not start the request.
  WrongInstance,
  /// No connection could be opened, so nothing was sent.
  Unreachable,
  /// The connection ended before the answer was complete, or what came is not
  /// a valid answer.
  ConnectionLost,
};

struct backend_answer {
  backend_result Result = backend_result::ConnectionLost;
  std::uint16_t Status = 0;
  std::string ContentType;
  http::header_list Headers;
  http::shared_body Body;
  framework::milliseconds RetryAfter{0};
  /// The backend server announced that it is draining.
  bool Draining = false;
  /// The backend server announced that it leaves; its node goes on.
  bool Leaving = false;
  /// Requests per second that the backend server takes, if it names a limit.
  std::optional<double> NamedLimit;
};

struct wire_dialect;
struct work_request;
class forward_pool;

class backend_client {
public:
  /// \p Dialect is used for requests of routes; null on a node without routes.
  backend_client(node_runtime &Node, const wire_dialect *Dialect);
  ~backend_client();
  KJ_DISALLOW_COPY(backend_client);

  /// Sends \p Request. Dropping the promise closes the connection, which makes
  /// the backend server cancel the request.
  task<backend_answer> send(backend_request Request);

  /// Sends a request of a route, with \p RemainingMs left.
  kj::Promise<backend_answer> forward(const work_request &Request,
                                      std::uint32_t RemainingMs);

  /// Number of connections opened so far, without probes.
  std::uint64_t connectionsOpened() const;

  /// Closes the idle connections.
  void closeIdleConnections();

  /// Closes the idle connections that the server has closed, or on which it has
  /// sent bytes that nobody asked for. Called at each tick.
  void closeUnusableConnections();

  /// Whether a new connection can be opened now.
  task<bool> probe();

private:
  struct idle_connection {
    kj::Own<http::client_connection> Connection;
    framework::monotonic_time IdleSince;
  };

  task<kj::Own<kj::AsyncIoStream>> openStream();
  task<kj::Own<http::client_connection>> acquire();

  node_runtime &Node;
  std::deque<idle_connection> IdleConnections;
  std::unique_ptr<forward_pool> ForwardPool;
  std::uint64_t ConnectionsOpened = 0;
};

} // namespace figplank::node
