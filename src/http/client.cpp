#include "http/client.h"

#include <array>

namespace figplank::http {
namespace {

constexpr std::size_t ReadBytes = std::size_t{16} << 10U;
constexpr std::uint16_t FirstFinalStatus = 200;
/// Answers to other requests that are skipped before the connection counts as
/// out of step.
constexpr unsigned MaxSkipped = 4;

} // namespace

client_connection::client_connection(kj::Own<kj::AsyncIoStream> Stream,
                                     parser_limits Limits)
    : Stream(kj::mv(Stream)), Parser(message_parser::kind::Responses, Limits) {}

void client_connection::watchIdle() {
  Watching = Stream->tryRead(&IdleByte, 1, 1)
                 .then([this](std::size_t) { Usable = false; },
                       [this](kj::Exception &&) { Usable = false; })
                 .eagerlyEvaluate(nullptr);
}

task<bool> client_connection::readMore(std::string &Bytes) {
  std::array<char, ReadBytes> Buffer;
  std::size_t Got = co_await Stream->tryRead(Buffer.data(), 1, Buffer.size());
  Bytes.assign(Buffer.data(), Got);
  co_return Got > 0;
}

task<exchange_result> client_connection::exchange(request Request,
                                                  response_filter Accepts) {
  Watching = nullptr;
  Usable = false;
  exchange_result Result;
  Parser.expectHead(Request.Method == "HEAD");
  std::string Text = formatRequest(Request);
  bool Sent = false;
  // The answer is read while the request is written: a server may answer
  // before it has read all of it.
  kj::Promise<void> Writing = Stream->write(Text.data(), Text.size())
                                  .then([&Sent]() { Sent = true; })
                                  .eagerlyEvaluate([](kj::Exception &&) {});
  std::string Bytes;
  unsigned Skipped = 0;
  bool Open = true;
  while (Open && !Result.Answer && Skipped <= MaxSkipped) {
    if (Bytes.empty()) {
      try {
        Open = co_await readMore(Bytes);
      } catch (const kj::Exception &) {
        break;
      }
      Result.AnyBytesRead |= Open;
    }
    std::size_t Consumed = 0;
    parse_state State = Open ? Parser.feed(Bytes, Consumed) : Parser.finish();
    Bytes.erase(0, Consumed);
    if (State == parse_state::Incomplete) {
      continue;
    }
    if (State != parse_state::Complete) {
      break;
    }
    response Response = Parser.takeResponse();
    if (Response.Status < FirstFinalStatus) {
      continue;
    }
    if (!Accepts(Response)) {
      ++Skipped;
      continue;
    }
    Usable = Open && Sent && Response.KeepAlive && Bytes.empty();
    Result.Answer = kj::mv(Response);
  }
  co_return kj::mv(Result);
}

} // namespace figplank::http
