#include "node/forwardpool.h"

#include <algorithm>
#include <charconv>

namespace figplank::node {
namespace {

using framework::milliseconds;
using framework::monotonic_time;
using framework::readClocks;

constexpr milliseconds ConnectTimeout{300};
/// Idle time after which a connection is not used, if the server names none.
constexpr milliseconds DefaultIdleLimit{4'000};
/// Time before the server's own time-out at which a connection is given up.
constexpr milliseconds IdleMargin{700};
/// A server may forget an idle connection and reset what comes next, which
/// leaves the outcome of a non-idempotent request open.
constexpr milliseconds NonIdempotentIdleLimit{1'000};

/// The `timeout=SECONDS` of a Keep-Alive header.
milliseconds idleLimit(const http::header_list &Headers) {
  const std::string *KeepAlive = http::findHeader(Headers, "Keep-Alive");
  constexpr std::string_view Parameter = "timeout=";
  std::size_t Found =
      KeepAlive == nullptr ? std::string::npos : KeepAlive->find(Parameter);
  if (Found == std::string::npos) {
    return DefaultIdleLimit;
  }
  std::uint32_t Seconds = 0;
  const char *Start = KeepAlive->data() + Found + Parameter.size();
  std::from_chars(Start, KeepAlive->data() + KeepAlive->size(), Seconds);
  milliseconds Named = milliseconds(std::int64_t{1000} * Seconds) - IdleMargin;
  return std::clamp(Named, milliseconds(0), milliseconds(60'000));
}

} // namespace

task<kj::Own<http::client_connection>> forward_pool::acquire(bool Idempotent) {
  monotonic_time Now = readClocks().Monotonic;
  while (!Idle.empty()) {
    idle_connection Newest = kj::mv(Idle.back());
    Idle.pop_back();
    bool Recent = Idempotent || Now - Newest.Since < NonIdempotentIdleLimit;
    if (Newest.Connection->isUsable() && Now < Newest.UsableUntil && Recent) {
      co_return kj::mv(Newest.Connection);
    }
  }
  kj::Own<kj::NetworkAddress> Address =
      co_await Node.Network.parseAddress(Node.Settings.BackendAddress.c_str());
  kj::Promise<kj::Own<kj::AsyncIoStream>> Connecting = Address->connect();
  kj::Own<kj::AsyncIoStream> Stream = co_await Node.Timer.timeoutAfter(
      toDuration(ConnectTimeout), kj::mv(Connecting));
  ++Connects;
  co_return kj::heap<http::client_connection>(kj::mv(Stream),
                                              http::parser_limits());
}

void forward_pool::release(kj::Own<http::client_connection> Connection,
                           const http::header_list &Headers) {
  monotonic_time Now = readClocks().Monotonic;
  Connection->watchIdle();
  Idle.push_back({kj::mv(Connection), Now, Now + idleLimit(Headers)});
  while (!Idle.empty() && Now >= Idle.front().UsableUntil) {
    Idle.pop_front();
  }
}

task<backend_answer> forward_pool::send(const work_request &Request,
                                        std::uint32_t RemainingMs) {
  const std::string Name = Request.Forwarded->RequestName;
  http::request Sent = Dialect.WriteBackendRequest(Request, RemainingMs);
  backend_answer Answer;
  kj::Own<http::client_connection> Connection;
  try {
    Connection = co_await acquire(Request.Idempotent);
  } catch (const kj::Exception &) {
    Answer.Result = backend_result::Unreachable;
  }
  if (Connection.get() == nullptr) {
    co_return kj::mv(Answer);
  }
  const wire_dialect &Names = Dialect;
  http::exchange_result Got = co_await Connection->exchange(
      kj::mv(Sent), [&Names, &Name](const http::response &Response) {
        return Names.AnswersRequest(Response, Name);
      });
  if (!Got.Answer) {
    Answer.Result = backend_result::ConnectionLost;
    co_return kj::mv(Answer);
  }
  const http::header_list Headers = Got.Answer->Headers;
  Answer = Dialect.ReadBackendAnswer(kj::mv(*Got.Answer));
  if (Connection->isUsable()) {
    release(kj::mv(Connection), Headers);
  }
  co_return kj::mv(Answer);
}

} // namespace figplank::node
