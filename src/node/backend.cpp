#include "node/backend.h"

#include "framework/httpheaders.h"
#include "node/forwardpool.h"

#include <charconv>

namespace figplank::node {
namespace {

using framework::headerText;

using framework::readClocks;

constexpr framework::milliseconds ConnectTimeout{500};
/// Shorter than the usual keep-alive timeout of servers, so that a connection
/// is not reused just as the server closes it.
constexpr framework::milliseconds MaxIdleTime{1'000};
constexpr std::size_t MaxAnswerBytes = std::size_t{8} << 20U;
constexpr unsigned ServiceUnavailable = 503;

backend_headers makeHeaders() {
  kj::HttpHeaderTable::Builder Builder;
  backend_headers Headers;
  Headers.Host = kj::HttpHeaderId::HOST;
  Headers.ContentType = kj::HttpHeaderId::CONTENT_TYPE;
  Headers.Context = Builder.add("Figplank-Context");
  Headers.IdempotencyKey = Builder.add("Idempotency-Key");
  Headers.Organisation = Builder.add("Figplank-Organisation");
  Headers.Rank = Builder.add("Figplank-Rank");
  Headers.DeadlineMs = Builder.add("Figplank-Deadline-Ms");
  Headers.Executed = Builder.add("Figplank-Executed");
  Headers.RetryAfterMs = Builder.add("Figplank-Retry-After-Ms");
  Headers.Draining = Builder.add("Figplank-Draining");
  Headers.Table = Builder.build();
  return Headers;
}

framework::milliseconds readMilliseconds(const std::string &Text) {
  std::uint32_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return framework::milliseconds(Number);
}

} // namespace

backend_client::backend_client(node_runtime &Node, const wire_dialect *Dialect)
    : Node(Node), Headers(makeHeaders()) {
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
  if (ForwardPool != nullptr) {
    ForwardPool->closeUnusableConnections(readClocks().Monotonic);
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

task<backend_client::connection> backend_client::acquire() {
  framework::monotonic_time Now = readClocks().Monotonic;
  while (!IdleConnections.empty() &&
         Now - IdleConnections.front().IdleSince > MaxIdleTime) {
    IdleConnections.pop_front();
  }
  if (!IdleConnections.empty()) {
    connection Newest = kj::mv(IdleConnections.back());
    IdleConnections.pop_back();
    co_return kj::mv(Newest);
  }
  connection Opened;
  Opened.Stream = co_await openStream();
  ++ConnectionsOpened;
  Opened.Client = kj::newHttpClient(*Headers.Table, *Opened.Stream);
  co_return kj::mv(Opened);
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
  connection Connection;
  backend_answer Answer;
  try {
    Connection = co_await acquire();
  } catch (const kj::Exception &) {
    Answer.Result = backend_result::Unreachable;
  }
  if (Answer.Result == backend_result::Unreachable) {
    co_return kj::mv(Answer);
  }
  try {
    Answer = co_await exchange(Connection, Request);
    Connection.IdleSince = readClocks().Monotonic;
    if (Answer.KeepAlive) {
      IdleConnections.push_back(kj::mv(Connection));
    }
  } catch (const kj::Exception &) {
    Answer.Result = backend_result::ConnectionLost;
  }
  co_return kj::mv(Answer);
}

task<backend_answer> backend_client::exchange(connection &Connection,
                                              const backend_request &Request) {
  kj::HttpHeaders Sent(*Headers.Table);
  Sent.set(Headers.Host, kj::heapString(Node.Settings.BackendAddress.c_str()));
  if (!Request.ContentType.empty()) {
    Sent.set(Headers.ContentType, kj::heapString(Request.ContentType.c_str()));
  }
  Sent.set(Headers.Context, kj::heapString(Request.Context.c_str()));
  if (!Request.IdempotencyKey.empty()) {
    Sent.set(Headers.IdempotencyKey,
             kj::heapString(Request.IdempotencyKey.c_str()));
  }
  Sent.set(Headers.Organisation, kj::heapString(Request.Organisation.c_str()));
  Sent.set(Headers.Rank, kj::str(static_cast<unsigned>(Request.Rank)));
  Sent.set(Headers.DeadlineMs, kj::str(Request.RemainingMs));
  kj::HttpClient::Request Started =
      Connection.Client->request(kj::HttpMethod::POST, Request.Path.c_str(),
                                 Sent, std::uint64_t{Request.Body.size()});
  co_await Started.body->write(Request.Body.text().data(), Request.Body.size());
  Started.body = nullptr;
  kj::HttpClient::Response Response = co_await kj::mv(Started.response);
  KJ_REQUIRE(http::isValidStatus(Response.statusCode), Response.statusCode);
  backend_answer Answer;
  Answer.Status = static_cast<std::uint16_t>(Response.statusCode);
  Answer.ContentType = headerText(*Response.headers, Headers.ContentType);
  Answer.Draining = headerText(*Response.headers, Headers.Draining) == "1";
  Answer.KeepAlive =
      headerText(*Response.headers, kj::HttpHeaderId::CONNECTION) != "close";
  Answer.RetryAfter =
      readMilliseconds(headerText(*Response.headers, Headers.RetryAfterMs));
  bool NotExecuted = headerText(*Response.headers, Headers.Executed) == "no";
  Answer.Body = co_await readBody(*Response.body);
  bool Shed = Response.statusCode == ServiceUnavailable && NotExecuted;
  Answer.Result = Shed ? backend_result::Shed : backend_result::Answered;
  co_return kj::mv(Answer);
}

task<http::shared_body> backend_client::readBody(kj::AsyncInputStream &Body) {
  constexpr std::size_t BlockBytes = std::size_t{16} << 10U;
  framework::memory_charge Charge(&Node.Memory,
                                  framework::memory_class::Answers);
  std::string Bytes;
  std::size_t BytesRead = 1;
  while (BytesRead > 0) {
    std::size_t Size = Bytes.size();
    Bytes.resize(Size + BlockBytes);
    BytesRead = co_await Body.tryRead(Bytes.data() + Size, 1, BlockBytes);
    Bytes.resize(Size + BytesRead);
    KJ_REQUIRE(Bytes.size() <= MaxAnswerBytes, "answer too long");
    KJ_REQUIRE(Charge.growTo(Bytes.size()), "no room for the answer");
  }
  co_return http::shared_body(std::move(Bytes), std::move(Charge));
}

} // namespace figplank::node
