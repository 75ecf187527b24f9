#include "node/backend.h"

#include "node/forwardpool.h"

#include <charconv>
#include <string_view>

namespace figplank::node {
namespace {

using framework::readClocks;

constexpr framework::milliseconds ConnectTimeout{500};
/// Shorter than the usual keep-alive timeout of servers, so that a connection
/// is not reused just as the server closes it.
constexpr framework::milliseconds MaxIdleTime{1'000};
constexpr std::size_t MaxAnswerBytes = std::size_t{8} << 20U;
constexpr unsigned ServiceUnavailable = 503;

std::string_view headerText(const http::header_list &Headers,
                            std::string_view Name) {
  return http::findHeader(Headers, Name).value_or(std::string_view());
}

framework::milliseconds readMilliseconds(std::string_view Text) {
  std::uint32_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return framework::milliseconds(Number);
}

http::request writeRequest(const std::string &Address,
                           backend_request Request) {
  http::request Sent;
  Sent.Method = "POST";
  Sent.Target = std::move(Request.Path);
  Sent.Headers.add("Host", Address);
  if (!Request.ContentType.empty()) {
    Sent.Headers.add("Content-Type", Request.ContentType);
  }
  Sent.Headers.add("Figplank-Context", Request.Context);
  if (!Request.IdempotencyKey.empty()) {
    Sent.Headers.add("Idempotency-Key", Request.IdempotencyKey);
  }
  Sent.Headers.add("Figplank-Organisation", Request.Organisation);
  Sent.Headers.add("Figplank-Rank", std::to_string(Request.Rank));
  Sent.Headers.add("Figplank-Deadline-Ms", std::to_string(Request.RemainingMs));
  Sent.Body = std::move(Request.Body);
  return Sent;
}

backend_answer readAnswer(http::response Response) {
  const http::header_list &Headers = Response.Headers;
  backend_answer Answer;
  Answer.Status = Response.Status;
  Answer.ContentType = headerText(Headers, "Content-Type");
  Answer.Draining = headerText(Headers, "Figplank-Draining") == "1";
  Answer.RetryAfter =
      readMilliseconds(headerText(Headers, "Figplank-Retry-After-Ms"));
  bool NotExecuted = headerText(Headers, "Figplank-Executed") == "no";
  bool Shed = Response.Status == ServiceUnavailable && NotExecuted;
  Answer.Result = Shed ? backend_result::Shed : backend_result::Answered;
  Answer.Body = std::move(Response.Body);
  return Answer;
}

} // namespace

backend_client::backend_client(node_runtime &Node, const wire_dialect *Dialect)
    : Node(Node) {
  if (Dialect != nullptr) {
    ForwardPool = std::make_unique<forward_pool>(Node, *Dialect);
  }
}

backend_client::~backend_client() = default;

kj::Promise<backend_answer> backend_client::forward(const work_request &Request,
                                                    std::uint32_t RemainingMs) {
  KJ_REQUIRE(ForwardPool != nullptr, "this node has no routes");
  return ForwardPool->send(Request, RemainingMs);
}

std::uint64_t backend_client::connectionsOpened() const {
  return ConnectionsOpened +
         (ForwardPool == nullptr ? 0 : ForwardPool->connectionsOpened());
}

void backend_client::closeIdleConnections() {
  IdleConnections.clear();
  if (ForwardPool != nullptr) {
    ForwardPool->closeIdleConnections();
  }
}

void backend_client::closeUnusableConnections() {
  framework::monotonic_time Now = readClocks().Monotonic;
  std::erase_if(IdleConnections, [Now](const idle_connection &Idle) {
    return !Idle.Connection->isUsable() || Now - Idle.IdleSince > MaxIdleTime;
  });
  if (ForwardPool != nullptr) {
    ForwardPool->closeUnusableConnections(Now);
  }
}

task<kj::Own<kj::AsyncIoStream>> backend_client::openStream() {
  kj::Own<kj::NetworkAddress> Address =
      co_await Node.Network.parseAddress(Node.Settings.BackendAddress.c_str());
  kj::Promise<kj::Own<kj::AsyncIoStream>> Connecting = Address->connect();
  kj::Promise<kj::Own<kj::AsyncIoStream>> Timed =
      Node.Timer.timeoutAfter(toDuration(ConnectTimeout), kj::mv(Connecting));
  kj::Own<kj::AsyncIoStream> Stream = co_await kj::mv(Timed);
  co_return kj::mv(Stream);
}

task<kj::Own<http::client_connection>> backend_client::acquire() {
  closeUnusableConnections();
  if (!IdleConnections.empty()) {
    kj::Own<http::client_connection> Newest =
        kj::mv(IdleConnections.back().Connection);
    IdleConnections.pop_back();
    co_return kj::mv(Newest);
  }
  kj::Own<kj::AsyncIoStream> Stream = co_await openStream();
  ++ConnectionsOpened;
  http::parser_limits Limits;
  Limits.MaxBodyBytes = MaxAnswerBytes;
  Limits.Account = &Node.Memory;
  co_return kj::heap<http::client_connection>(kj::mv(Stream), Limits,
                                              Node.Timer);
}

task<bool> backend_client::probe() {
  bool Reachable = false;
  try {
    kj::Own<kj::AsyncIoStream> Stream = co_await openStream();
    Reachable = true;
  } catch (const kj::Exception &) {
    Reachable = false;
  }
  co_return Reachable;
}

task<backend_answer> backend_client::send(backend_request Request) {
  kj::Own<http::client_connection> Connection;
  backend_answer Answer;
  try {
    Connection = co_await acquire();
  } catch (const kj::Exception &) {
    Answer.Result = backend_result::Unreachable;
  }
  if (Connection.get() == nullptr) {
    co_return kj::mv(Answer);
  }
  http::exchange_result Exchanged = co_await Connection->exchange(
      writeRequest(Node.Settings.BackendAddress, std::move(Request)),
      [](const http::response &) { return true; });
  if (!Exchanged.FinalResponse) {
    Answer.Result = backend_result::ConnectionLost;
    co_return kj::mv(Answer);
  }
  Answer = readAnswer(std::move(*Exchanged.FinalResponse));
  if (Connection->isUsable()) {
    Connection->watchIdle();
    IdleConnections.push_back({kj::mv(Connection), readClocks().Monotonic});
  }
  co_return kj::mv(Answer);
}

} // namespace figplank::node
