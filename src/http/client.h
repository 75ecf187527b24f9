/// \file
/// The client's side of one HTTP/1.1 connection on a KJ event loop.
#pragma once

#include "framework/coroutine.h"
#include "framework/timetypes.h"
#include "http/parser.h"

#include <kj/async-io.h>

#include <functional>
#include <optional>

namespace figplank::http {

using framework::task;

/// Whether a response answers the request that waits. An answer to another
/// request, one that was given up on this connection, is dropped.
using response_filter = std::function<bool(const response &)>;

/// What came of an exchange.
struct exchange_result {
  /// The complete answer; nothing where the connection ended before it or sent
  /// what is no answer.
  std::optional<response> Answer;
  /// Something was read, if only a part of an answer.
  bool AnyBytesRead = false;
};

class client_connection {
public:
  client_connection(kj::Own<kj::AsyncIoStream> Stream, parser_limits Limits);
  KJ_DISALLOW_COPY(client_connection);

  /// Sends \p Request and reads its answer. Nothing else may be in progress.
  task<exchange_result> exchange(request Request, response_filter Accepts);

  /// Watches the idle connection for its end or for bytes that nobody asked
  /// for.
  void watchIdle();

  /// Whether another request may be sent.
  bool isUsable() const { return Usable; }

private:
  task<bool> readMore(std::string &Bytes);

  kj::Own<kj::AsyncIoStream> Stream;
  message_parser Parser;
  bool Usable = true;
  char IdleByte = 0;
  kj::Maybe<kj::Promise<void>> Watching;
};

} // namespace figplank::http
