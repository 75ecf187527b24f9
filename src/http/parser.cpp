#include "http/parser.h"

#include <utility>

namespace figplank::http {
namespace {

constexpr int Stop = 1;
constexpr int SkipBody = 1;

} // namespace

message_parser::message_parser(kind Kind, parser_limits Limits)
    : Limits(Limits) {
  http_parser_init(&Parser,
                   Kind == kind::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
  Parser.data = this;
}

message_parser &message_parser::self(http_parser *Parser) {
  return *static_cast<message_parser *>(Parser->data);
}

bool message_parser::countHeadBytes(std::size_t Length) {
  HeadBytes += Length;
  if (HeadBytes > Limits.MaxHeaderBytes) {
    Failure = parse_state::HeadersTooLarge;
    return false;
  }
  return true;
}

int message_parser::onBegin(http_parser *Parser) {
  self(Parser).Inside = true;
  return 0;
}

int message_parser::onTarget(http_parser *Parser, const char *At,
                             std::size_t Length) {
  message_parser &Self = self(Parser);
  Self.Target.append(At, Length);
  return Self.countHeadBytes(Length) ? 0 : Stop;
}

int message_parser::onName(http_parser *Parser, const char *At,
                           std::size_t Length) {
  message_parser &Self = self(Parser);
  if (!Self.InName) {
    Self.Headers.emplace_back();
  }
  Self.InName = true;
  Self.Headers.back().Name.append(At, Length);
  return Self.countHeadBytes(Length) ? 0 : Stop;
}

int message_parser::onValue(http_parser *Parser, const char *At,
                            std::size_t Length) {
  message_parser &Self = self(Parser);
  Self.InName = false;
  // Trailers of a chunked body are dropped with the framing that brought them.
  Self.Headers.back().Value.append(At, Length);
  return Self.countHeadBytes(Length) ? 0 : Stop;
}

int message_parser::onHead(http_parser *Parser) {
  message_parser &Self = self(Parser);
  Self.HeadDone = true;
  Self.InName = false;
  return Self.AnswersHead ? SkipBody : 0;
}

int message_parser::onBody(http_parser *Parser, const char *At,
                           std::size_t Length) {
  message_parser &Self = self(Parser);
  if (Self.Body.size() + Length > Self.Limits.MaxBodyBytes) {
    Self.Failure = parse_state::BodyTooLarge;
    return Stop;
  }
  Self.Body.append(At, Length);
  return 0;
}

int message_parser::onComplete(http_parser *Parser) {
  message_parser &Self = self(Parser);
  Self.Done = true;
  Self.Inside = false;
  Self.KeepAlive = http_should_keep_alive(Parser) != 0;
  http_parser_pause(Parser, 1);
  return 0;
}

parse_state message_parser::feed(std::string_view Bytes,
                                 std::size_t &Consumed) {
  static const http_parser_settings Callbacks = [] {
    http_parser_settings Settings;
    http_parser_settings_init(&Settings);
    Settings.on_message_begin = onBegin;
    Settings.on_url = onTarget;
    Settings.on_header_field = onName;
    Settings.on_header_value = onValue;
    Settings.on_headers_complete = onHead;
    Settings.on_body = onBody;
    Settings.on_message_complete = onComplete;
    return Settings;
  }();
  Consumed =
      http_parser_execute(&Parser, &Callbacks, Bytes.data(), Bytes.size());
  return stateAfter(Consumed == Bytes.size());
}

parse_state message_parser::finish() {
  std::size_t Consumed = 0;
  return feed({}, Consumed);
}

parse_state message_parser::stateAfter(bool UsedAll) {
  if (Failure != parse_state::Incomplete) {
    return Failure;
  }
  if (Done) {
    return parse_state::Complete;
  }
  bool Failed =
      HTTP_PARSER_ERRNO(&Parser) != HPE_OK || !UsedAll || Parser.upgrade != 0;
  return Failed ? parse_state::Malformed : parse_state::Incomplete;
}

void message_parser::reset() {
  Target.clear();
  Headers.clear();
  Body.clear();
  HeadBytes = 0;
  InName = false;
  HeadDone = false;
  Done = false;
  http_parser_pause(&Parser, 0);
}

request message_parser::takeRequest() {
  request Request;
  Request.Method = http_method_str(static_cast<http_method>(Parser.method));
  Request.Target = std::move(Target);
  Request.Headers = std::move(Headers);
  Request.Body = std::move(Body);
  Request.KeepAlive = KeepAlive;
  reset();
  return Request;
}

response message_parser::takeResponse() {
  response Response;
  Response.Status = static_cast<std::uint16_t>(Parser.status_code);
  Response.Headers = std::move(Headers);
  Response.Body = std::move(Body);
  Response.KeepAlive = KeepAlive;
  reset();
  return Response;
}

bool message_parser::wantsContinue() const {
  return HeadDone && !Done && findHeader(Headers, "Expect") != nullptr;
}

} // namespace figplank::http
