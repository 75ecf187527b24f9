#include "http/client.h"

#include <array>

namespace figplank::http {
namespace {

constexpr std::size_t ReadBufferBytes = std::size_t{16} << 10U;
/// Responses to other requests that are discarded before the exchange fails,
/// since the connection then seems to be out of sync.
constexpr unsigned MaxDiscarded = 4;

enum class write_state : std::uint8_t { Running, Done, Failed };

kj::ArrayPtr<const kj::byte> toBytes(const std::string &Text) {
  return {reinterpret_cast<const kj::byte *>(Text.data()), Text.size()};
}

} // namespace

client_connection::client_connection(kj::Own<kj::AsyncIoStream> Stream,
                                     parser_limits Limits, kj::Timer &Timer)
    : Stream(kj::mv(Stream)), Parser(message_parser::kind::Responses, Limits),
      Timer(Timer) {}

void client_connection::watchIdle() {
  IdleRead = Stream->tryRead(&IdleByte, 1, 1)
                 .then([this](std::size_t) { Usable = false; },
                       [this](kj::Exception &&) { Usable = false; })
                 .eagerlyEvaluate(nullptr);
}

task<bool> client_connection::readMore(std::string &Bytes) {
  std::array<char, ReadBufferBytes> Buffer;
  std::size_t BytesRead =
      co_await Stream->tryRead(Buffer.data(), 1, Buffer.size());
  Bytes.assign(Buffer.data(), BytesRead);
  co_return BytesRead > 0;
}

task<void> client_connection::awaitRoom() {
  constexpr kj::Duration PollInterval = 5 * kj::MILLISECONDS;
  while (!Parser.reserveBody()) {
    co_await Timer.afterDelay(PollInterval);
  }
}

task<exchange_result> client_connection::exchange(request Request,
                                                  response_filter IsExpected) {
  IdleRead = nullptr;
  Usable = false;
  exchange_result Result;
  Parser.expectHeadResponse(Request.Method == "HEAD");
  std::string Head = formatRequestHead(Request);
  std::array<kj::ArrayPtr<const kj::byte>, 2> Pieces{
      toBytes(Head), toBytes(Request.Body.text())};
  auto WriteState = write_state::Running;
  // The response is read while the request is being written, because a server
  // may respond before it has read the whole request. evalNow() makes a failed
  // write of one that fails before it returns.
  kj::Promise<void> Writing =
      kj::evalNow([&]() {
        return Stream->write(
            kj::arrayPtr(Pieces.data(), Request.Body.empty() ? 1 : 2));
      })
          .then([&WriteState]() { WriteState = write_state::Done; },
                [&WriteState](kj::Exception &&) {
                  WriteState = write_state::Failed;
                })
          .eagerlyEvaluate(nullptr);
  std::string Bytes;
  unsigned Discarded = 0;
  unsigned Interim = 0;
  bool IsOpen = true;
  while (IsOpen && !Result.FinalResponse && Discarded <= MaxDiscarded) {
    if (Bytes.empty()) {
      co_await awaitRoom();
      try {
        IsOpen = co_await readMore(Bytes);
      } catch (const kj::Exception &) {
        break;
      }
      Result.AnyBytesRead |= IsOpen;
    }
    if (!IsOpen) {
      // A write that meets a reset takes the error from the socket, and the
      // next read sees an orderly end. The write is told of it first.
      co_await kj::evalLast([]() {});
      if (WriteState == write_state::Failed) {
        break;
      }
    }
    std::size_t Consumed = 0;
    parse_state State = IsOpen ? Parser.feed(Bytes, Consumed) : Parser.finish();
    Bytes.erase(0, Consumed);
    if (State == parse_state::Incomplete) {
      continue;
    }
    if (State != parse_state::Complete) {
      break;
    }
    response Response = Parser.takeResponse();
    if (Response.Status < FirstFinalStatus) {
      if (++Interim > MaxInterimResponses) {
        break;
      }
      continue;
    }
    if (!IsExpected(Response)) {
      ++Discarded;
      continue;
    }
    Usable = IsOpen && WriteState == write_state::Done && Response.KeepAlive &&
             Bytes.empty();
    Result.FinalResponse = kj::mv(Response);
  }
  co_return kj::mv(Result);
}

} // namespace figplank::http
