/// \file
/// The server's side of HTTP/1.1 connections on a KJ event loop.
///
/// Requests on one connection start as soon as they are read and are answered
/// in the order in which they were sent (pipelining). A client that closes its
/// connection cancels what it waits for.
#pragma once

#include "framework/coroutine.h"
#include "framework/timetypes.h"
#include "http/parser.h"

#include <kj/async-io.h>

#include <deque>
#include <functional>
#include <memory>

namespace figplank::http {

using framework::task;

struct server_limits {
  parser_limits Parser;
  /// Time from the first byte of a request to the end of its head.
  framework::milliseconds HeaderTimeout{10'000};
  /// Time that a connection may stay open without a request.
  framework::milliseconds IdleTimeout{60'000};
  /// Requests of one connection that may wait for their answers.
  std::size_t MaxPipelined = 64;
  /// Time that a closed connection's remaining input is read and dropped, so
  /// that the last answer is not lost to a reset.
  framework::milliseconds Linger{500};
};

/// Answers one request. Dropping the promise cancels it.
using request_handler = std::function<kj::Promise<response>(request)>;

class server : private kj::TaskSet::ErrorHandler {
public:
  server(kj::Timer &Timer, request_handler Handler);
  KJ_DISALLOW_COPY(server);

  /// Serves the connections that \p Port accepts.
  kj::Promise<void> listen(kj::ConnectionReceiver &Port);

  /// Serves one connection until it ends.
  kj::Promise<void> serveStream(kj::Own<kj::AsyncIoStream> Stream);

  /// Applies to requests that are read from now on.
  void setLimits(const server_limits &Changed) { Limits = Changed; }

  /// From now on every answer announces the end of its connection, and idle
  /// connections are closed.
  void closeConnections();

  std::size_t openConnections() const { return Open.size(); }
  /// Requests that were read and not yet answered.
  std::size_t unanswered() const;

private:
  class connection;

  task<void> acceptLoop(kj::ConnectionReceiver &Port);
  task<void> serve(kj::Own<kj::AsyncIoStream> Stream);
  void taskFailed(kj::Exception &&Exception) override;

  kj::Timer &Timer;
  request_handler Handler;
  server_limits Limits;
  bool Closing = false;
  std::vector<connection *> Open;
  kj::TaskSet Tasks;
};

} // namespace figplank::http
