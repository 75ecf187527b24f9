/// \file
/// The client side of an HTTP/1.1 connection on a KJ event loop.
#pragma once

#include "framework/coroutine.h"
#include "framework/timetypes.h"
#include "http/parser.h"

#include <kj/async-io.h>
#include <kj/timer.h>

#include <functional>
#include <optional>

namespace figplank::http {

using framework::task;

/// Returns whether a response belongs to the current request. Other responses
/// are discarded; they answer requests that were abandoned on this connection.
using response_filter = std::function<bool(const response &)>;

/// The result of sending a request and waiting for its response.
struct exchange_result {
  /// The complete response. Empty if the connection ended before it or if the
  /// received bytes are not a valid response to the request. A response without
  /// a length is complete once the connection has ended in an orderly way, and
  /// no write of the request has failed by then.
  std::optional<response> FinalResponse;
  /// Set once any bytes were read, even if the response is incomplete.
  bool AnyBytesRead = false;
};

class client_connection {
public:
  client_connection(kj::Own<kj::AsyncIoStream> Stream, parser_limits Limits,
                    kj::Timer &Timer);
  KJ_DISALLOW_COPY(client_connection);

  /// Sends \p Request and reads responses until \p IsExpected accepts one. Only
  /// one exchange may be in progress at a time.
  task<exchange_result> exchange(request Request, response_filter IsExpected);

  /// Monitors the idle connection: it becomes unusable if the server closes it
  /// or sends unsolicited bytes.
  void watchIdle();

  /// Returns whether the connection may be used for another request.
  bool isUsable() const { return Usable; }

private:
  task<bool> readMore(std::string &Bytes);
  /// Waits until the account has room for the body of the response.
  task<void> awaitRoom();

  kj::Own<kj::AsyncIoStream> Stream;
  message_parser Parser;
  kj::Timer &Timer;
  bool Usable = true;
  char IdleByte = 0;
  kj::Maybe<kj::Promise<void>> IdleRead;
};

} // namespace figplank::http
