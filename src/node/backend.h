/// \file
/// Requests to the local backend server.
///
/// A connection carries one request at a time and returns to the pool only
/// after its answer was read completely, so that an answer cannot be matched to
/// the wrong request.
#pragma once

#include "http/message.h"
#include "node/runtime.h"

#include <kj/compat/http.h>

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
  /// The connection was closed before the answer was complete.
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
  /// The server keeps the connection open for another request.
  bool KeepAlive = true;
};

/// The header ids of one header table, shared by all connections.
struct backend_headers {
  kj::Own<kj::HttpHeaderTable> Table;
  kj::HttpHeaderId Host;
  kj::HttpHeaderId ContentType;
  kj::HttpHeaderId Context;
  kj::HttpHeaderId IdempotencyKey;
  kj::HttpHeaderId Organisation;
  kj::HttpHeaderId Rank;
  kj::HttpHeaderId DeadlineMs;
  kj::HttpHeaderId Executed;
  kj::HttpHeaderId RetryAfterMs;
  kj::HttpHeaderId Draining;
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
  struct connection {
    kj::Own<kj::AsyncIoStream> Stream;
    kj::Own<kj::HttpClient> Client;
    framework::monotonic_time IdleSince;
  };

  task<kj::Own<kj::AsyncIoStream>> openStream();
  task<connection> acquire();
  task<backend_answer> exchange(connection &Connection,
                                const backend_request &Request);
  /// Reads the body of an answer. Fails if it is too long, or if the memory
  /// account has no room for it.
  task<http::shared_body> readBody(kj::AsyncInputStream &Body);

  node_runtime &Node;
  backend_headers Headers;
  std::deque<connection> IdleConnections;
  std::unique_ptr<forward_pool> ForwardPool;
  std::uint64_t ConnectionsOpened = 0;
};

} // namespace figplank::node
