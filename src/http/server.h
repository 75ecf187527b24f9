/// \file
/// The server side of HTTP/1.1 connections on a KJ event loop.
///
/// Pipelined requests of a connection are handled concurrently, and their
/// responses are sent in the order of the requests. When a client closes its
/// connection, the pending requests of the connection are cancelled.
#pragma once

#include "framework/coroutine.h"
#include "framework/enumnames.h"
#include "framework/timetypes.h"
#include "http/parser.h"

#include <kj/async-io.h>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace figplank::http {

using framework::task;

struct server_limits {
  parser_limits Parser;
  /// Maximum time for the headers of a request from its first byte on, and to
  /// wait for more bytes of its body.
  framework::milliseconds HeaderTimeout{10'000};
  /// Time after which a connection without requests is closed.
  framework::milliseconds IdleTimeout{60'000};
  /// Number of pending requests at which reading from a connection pauses.
  std::size_t MaxPipelined = 64;
  /// Time for which input is still read and discarded after the last response.
  /// Closing the socket with unread input would send a reset, and the client
  /// could lose the response.
  framework::milliseconds LingerTime{500};
  /// Time for which a client may take no byte of a response that is ready. It
  /// is far above the deadlines of requests.
  framework::milliseconds StallTimeout{60'000};
  /// Number of open connections at which idle ones are closed for new ones.
  std::size_t MaxConnections = 10'000;
};

/// Handles one request. Dropping the promise cancels the request.
using request_handler = std::function<kj::Promise<response>(request)>;

/// Why a connection ended.
enum class connection_end : std::uint8_t {
  /// The server closed it, and all responses were written.
  Finished,
  /// The client closed or reset it.
  ClientClosed,
  /// The client reset it while a response was written.
  WriteFailed,
  /// The client took no byte of a response for too long.
  ReaderStalled,
  /// It was closed since the memory account had no room.
  MemoryShort,
  /// It was closed to make place for a new connection.
  PlaceNeeded,
  /// The server ended, which cancelled the requests.
  ServerEnded,
};

inline constexpr std::array<framework::enum_name<connection_end>, 7>
    ConnectionEndNames{{
        {connection_end::Finished, "finished"},
        {connection_end::ClientClosed, "client_closed"},
        {connection_end::WriteFailed, "write_failed"},
        {connection_end::ReaderStalled, "reader_stalled"},
        {connection_end::MemoryShort, "memory_short"},
        {connection_end::PlaceNeeded, "place_needed"},
        {connection_end::ServerEnded, "server_ended"},
    }};

/// The end of a connection.
struct connection_record {
  connection_end Reason = connection_end::Finished;
  /// Requests that were read and got no complete response.
  std::size_t Owed = 0;
  /// Names of the first of them, separated by commas.
  std::string OwedNames;
  /// Bytes charged for what it held.
  std::size_t HeldBytes = 0;
};

/// What a server tells its owner, and asks it.
struct server_observer {
  /// A short name of a request, for records of ends.
  std::function<std::string(const request &)> NameOf;
  /// Called at the end of each connection.
  std::function<void(const connection_record &)> OnEnd;
};

class server : private kj::TaskSet::ErrorHandler {
public:
  /// \p Account is charged for what clients hold and must outlive the server.
  server(kj::Timer &Timer, request_handler Handler,
         framework::memory_account &Account, server_observer Observer = {});
  KJ_DISALLOW_COPY(server);

  /// Serves the connections that \p Port accepts, until an accept fails.
  kj::Promise<void> listen(kj::ConnectionReceiver &Port);

  /// Serves one connection until it is closed.
  kj::Promise<void> serveStream(kj::Own<kj::AsyncIoStream> Stream);

  /// Sets the limits. The parser limits apply to new connections, the others to
  /// open connections too.
  void setLimits(const server_limits &NewLimits) {
    Limits = NewLimits;
    Limits.Parser.Account = &Account;
  }

  /// Closes connections whose clients take no response, and, while the account
  /// is short of memory, the slow ones that have held most for longest. To be
  /// called some times a second.
  void closeHarmfulConnections();

  /// Starts a graceful shutdown: closes idle connections, and ends each of the
  /// others with the response to the last request that was read, which has
  /// `Connection: close`. New connections may still send one request.
  void drainConnections();

  /// Closes the connections on which no request has begun. Called after
  /// drainConnections().
  void closeUnusedConnections();

  std::size_t openConnections() const { return OpenConnections.size(); }
  /// Returns the number of requests that were read and have no response yet.
  std::size_t pendingRequests() const;

private:
  class connection;

  task<void> acceptLoop(kj::ConnectionReceiver &Port);
  /// Number of connections that aren't about to be closed.
  std::size_t activeConnections() const;
  /// Closes the connection that has been idle for longest, or else the oldest
  /// one with an incomplete request. Returns false if there is none.
  bool closeForPlace();
  void closeForMemory();
  task<void> serve(kj::Own<kj::AsyncIoStream> Stream);
  void taskFailed(kj::Exception &&Exception) override;

  kj::Timer &Timer;
  request_handler Handler;
  framework::memory_account &Account;
  server_observer Observer;
  server_limits Limits;
  /// The denials of the account that closeForMemory() has dealt with.
  std::uint64_t SeenLongDenials = 0;
  bool Draining = false;
  std::vector<connection *> OpenConnections;
  kj::TaskSet Tasks;
};

} // namespace figplank::http
