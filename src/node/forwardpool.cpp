#include "node/forwardpool.h"

#include <algorithm>
#include <charconv>

namespace figplank::node {
namespace {

using framework::milliseconds;
using framework::monotonic_time;
using framework::readClocks;

constexpr milliseconds ConnectTimeout{300};
/// Idle time after which a connection is not reused, if the server sends no
/// Keep-Alive timeout.
constexpr milliseconds DefaultMaxIdleTime{4'000};
/// Time before the server's Keep-Alive timeout from which a connection is no
/// longer reused.
constexpr milliseconds KeepAliveMargin{700};
/// Maximum idle time of a connection reused for a non-idempotent request. A
/// server may drop an idle connection and reset it on the next request, which
/// leaves the outcome of that request unknown.
constexpr milliseconds NonIdempotentMaxIdleTime{1'000};

/// Maximum size of a response.
constexpr std::size_t MaxResponseBytes = std::size_t{16} << 20U;

/// Idle time up to which a connection may be reused, from the
/// `timeout=SECONDS` of the Keep-Alive header.
milliseconds maxIdleTime(const http::header_list &Headers) {
  const std::string_view KeepAlive =
      http::findHeader(Headers, "Keep-Alive").value_or(std::string_view());
  constexpr std::string_view Parameter = "timeout=";
  std::size_t Found = KeepAlive.find(Parameter);
  if (Found == std::string_view::npos) {
    return DefaultMaxIdleTime;
  }
  std::uint32_t Seconds = 0;
  std::from_chars(KeepAlive.data() + Found + Parameter.size(),
                  KeepAlive.data() + KeepAlive.size(), Seconds);
  milliseconds MaxIdleTime =
      milliseconds(std::int64_t{1000} * Seconds) - KeepAliveMargin;
  return std::clamp(MaxIdleTime, milliseconds(0), milliseconds(60'000));
}

} // namespace

void forward_pool::closeUnusableConnections(monotonic_time Now) {
  std::erase_if(IdleConnections, [Now](const idle_connection &Idle) {
    return !Idle.Pooled.Connection->isUsable() || Now >= Idle.UsableUntil;
  });
}

std::optional<forward_pool::pooled_connection>
forward_pool::takeIdle(bool Idempotent, monotonic_time Now) {
  closeUnusableConnections(Now);
  auto MayCarry = [Idempotent, Now](const idle_connection &Idle) {
    return Idempotent || (Now - Idle.IdleSince < NonIdempotentMaxIdleTime &&
                          !Idle.Pooled.CarriedRefusal);
  };
  // The newest one is the least likely to be closed by the server.
  auto Newest =
      std::find_if(IdleConnections.rbegin(), IdleConnections.rend(), MayCarry);
  if (Newest == IdleConnections.rend()) {
    return std::nullopt;
  }
  pooled_connection Taken = kj::mv(Newest->Pooled);
  IdleConnections.erase(std::next(Newest).base());
  return Taken;
}

task<forward_pool::pooled_connection> forward_pool::acquire(bool Idempotent) {
  std::optional<pooled_connection> Idle =
      takeIdle(Idempotent, readClocks().Monotonic);
  if (Idle) {
    co_return kj::mv(*Idle);
  }
  kj::Own<kj::NetworkAddress> Address =
      co_await Node.Network.parseAddress(Node.Settings.BackendAddress.c_str());
  kj::Promise<kj::Own<kj::AsyncIoStream>> Connecting = Address->connect();
  kj::Own<kj::AsyncIoStream> Stream = co_await Node.Timer.timeoutAfter(
      toDuration(ConnectTimeout), kj::mv(Connecting));
  ++ConnectionsOpened;
  http::parser_limits Limits;
  Limits.MaxBodyBytes = MaxResponseBytes;
  Limits.Account = &Node.Memory;
  co_return pooled_connection{
      kj::heap<http::client_connection>(kj::mv(Stream), Limits, Node.Timer)};
}

void forward_pool::release(pooled_connection Pooled,
                           const http::header_list &Headers) {
  monotonic_time Now = readClocks().Monotonic;
  Pooled.Connection->watchIdle();
  IdleConnections.push_back({kj::mv(Pooled), Now, Now + maxIdleTime(Headers)});
}

task<backend_answer> forward_pool::send(const work_request &Request,
                                        std::uint32_t RemainingMs) {
  const std::string Name = Request.Forwarded->RequestName;
  http::request Sent = Dialect.WriteBackendRequest(Request, RemainingMs);
  backend_answer Answer;
  pooled_connection Pooled;
  try {
    Pooled = co_await acquire(Request.Idempotent);
  } catch (const kj::Exception &) {
    Answer.Result = backend_result::Unreachable;
  }
  if (Pooled.Connection.get() == nullptr) {
    co_return kj::mv(Answer);
  }
  const wire_dialect &WireDialect = Dialect;
  http::exchange_result Exchanged = co_await Pooled.Connection->exchange(
      kj::mv(Sent), [&WireDialect, &Name](const http::response &Response) {
        return WireDialect.AnswersRequest(Response, Name);
      });
  if (!Exchanged.FinalResponse) {
    Answer.Result = backend_result::ConnectionLost;
    co_return kj::mv(Answer);
  }
  const http::header_list Headers = Exchanged.FinalResponse->Headers;
  Answer = Dialect.ReadBackendAnswer(kj::mv(*Exchanged.FinalResponse));
  Pooled.CarriedRefusal |= Answer.Result != backend_result::Answered;
  if (Pooled.Connection->isUsable()) {
    release(kj::mv(Pooled), Headers);
  }
  co_return kj::mv(Answer);
}

} // namespace figplank::node
