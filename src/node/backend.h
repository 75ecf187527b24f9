/// \file
/// Requests to the backend server beside this node.
///
/// A connection carries one request at a time and returns to the pool only
/// after its answer was read to the end, so that no answer can be taken for
/// another request's.
#pragma once

#include "http/message.h"
#include "node/runtime.h"

#include <kj/compat/http.h>

#include <deque>
#include <memory>
#include <string>

namespace figplank::node {

/// What the backend server is told.
struct backend_request {
  std::string Path;
  std::string ContentType;
  std::string Body;
  /// Token that the backend server repeats on its own calls.
  std::string Context;
  /// Text form of the id; may be empty.
  std::string IdempotencyKey;
  std::string Organisation;
  std::uint8_t Rank = 0;
  std::uint32_t RemainingMs = 0;
};

enum class backend_result : std::uint8_t {
  /// A complete answer.
  Answered,
  /// It says that the request was never started.
  Shed,
  /// Another incarnation has the address; the request was never started.
  WrongInstance,
  /// No connection could be made, so nothing was sent.
  Unreachable,
  /// The connection ended before the answer did.
  ConnectionLost,
};

struct backend_answer {
  backend_result Result = backend_result::ConnectionLost;
  std::uint16_t Status = 0;
  std::string ContentType;
  http::header_list Headers;
  std::string Body;
  framework::milliseconds RetryAfter{0};
  /// The backend server announced that it leaves.
  bool Draining = false;
  /// The server keeps the connection open for another request.
  bool KeepAlive = true;
};

/// The header ids of one table, shared by all connections.
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
  /// \p Dialect serves requests of routes; null where there are none.
  backend_client(node_runtime &Node, const wire_dialect *Dialect);
  ~backend_client();
  KJ_DISALLOW_COPY(backend_client);

  /// Sends \p Request. Dropping the promise closes the connection, which
  /// tells the backend server to stop.
  task<backend_answer> send(backend_request Request);

  /// Sends a request of a route, with \p RemainingMs left.
  kj::Promise<backend_answer> forward(const work_request &Request,
                                      std::uint32_t RemainingMs);

  /// Connections made so far, probes not counted.
  std::uint64_t connects() const;

  /// Closes the connections that wait for a request.
  void dropIdle();

  /// Whether a connection can be made now.
  task<bool> probe();

private:
  struct connection {
    kj::Own<kj::AsyncIoStream> Stream;
    kj::Own<kj::HttpClient> Client;
    framework::monotonic_time IdleSince;
  };

  task<kj::Own<kj::AsyncIoStream>> open();
  task<connection> acquire();
  task<backend_answer> exchange(connection &Connection,
                                const backend_request &Request);

  node_runtime &Node;
  backend_headers Headers;
  std::deque<connection> Idle;
  std::unique_ptr<forward_pool> Forwards;
  std::uint64_t Connects = 0;
};

} // namespace figplank::node
