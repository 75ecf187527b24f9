#include "http/parser.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace figplank::http {
namespace {

// Return values of http_parser callbacks. SkipBody and FailHeaders are for
// on_headers_complete only, StopParsing for all others.
constexpr int StopParsing = 1;
constexpr int SkipBody = 1;
constexpr int FailHeaders = -1;

/// Bytes between the name of a header and its value in header_list::text().
constexpr std::string_view Separator = ": ";
constexpr std::string_view LineEnd = "\r\n";
/// Fewest bytes of a header line beside its name and value: colon and line
/// feed.
constexpr std::size_t MinLineBytes = 2;
/// What is kept for a request while it runs, without its head.
constexpr std::size_t RequestBytes = std::size_t{16} << 10U;
/// Copies of parts of the head while a request runs: names, paths, messages to
/// other nodes and the text for the backend server.
constexpr std::size_t HeadCopies = 8;

/// Whether the body of a response with the header lines \p Lines has no coding,
/// or the only one that can be taken off. A node asks for no other one.
bool isCodingKnown(std::string_view Lines) {
  unsigned Codings = 0;
  for (header_list::iterator Line(Lines); Line != header_list::iterator();
       ++Line) {
    if (equalsIgnoringCase(Line->Name, "Transfer-Encoding")) {
      ++Codings;
      std::string_view Coding = Line->Value;
      Coding = Coding.substr(0, Coding.find_last_not_of(" \t") + 1);
      if (Codings > 1 || !equalsIgnoringCase(Coding, "chunked")) {
        return false;
      }
    }
  }
  return true;
}

/// Whether \p C ends the target, or the request line, for some recipients.
bool isBlankOrControl(char C) {
  constexpr unsigned char LastControl = 0x20;
  constexpr unsigned char Delete = 0x7f;
  auto Byte = static_cast<unsigned char>(C);
  return Byte <= LastControl || Byte == Delete;
}

} // namespace

std::size_t chargeOfRun(std::size_t HeadBytes) {
  return RequestBytes + HeadCopies * HeadBytes;
}

message_parser::message_parser(kind Kind, parser_limits Limits)
    : Kind(Kind), Limits(Limits),
      HeadCharge(Limits.Account, framework::memory_class::Heads),
      BodyCharge(Limits.Account, Kind == kind::Requests
                                     ? framework::memory_class::Bodies
                                     : framework::memory_class::Answers) {
  http_parser_init(&Parser,
                   Kind == kind::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
  Parser.data = this;
}

message_parser &message_parser::self(http_parser *Parser) {
  return *static_cast<message_parser *>(Parser->data);
}

bool message_parser::countHeaderBytes(std::size_t Length) {
  HeaderBytes += Length;
  if (HeaderBytes > Limits.MaxHeaderBytes) {
    Failure = parse_state::HeadersTooLarge;
    return false;
  }
  if (!HeadCharge.growTo(HeaderBytes)) {
    Failure = parse_state::NoRoom;
    return false;
  }
  return true;
}

bool message_parser::countBodyBytes(std::size_t Length) {
  std::size_t Size = Body.size() + Length;
  if (Size > Limits.MaxBodyBytes) {
    Failure = parse_state::BodyTooLarge;
    return false;
  }
  if (!BodyCharge.growTo(Size)) {
    Failure = parse_state::NoRoom;
    return false;
  }
  return true;
}

bool message_parser::chargeRun() {
  if (Kind == kind::Requests && !HeadCharge.growTo(chargeOfRun(HeaderBytes))) {
    Failure = parse_state::NoRoom;
    return false;
  }
  return true;
}

bool message_parser::reserveBody() {
  bool IsInBody = IsInMessage && AreHeadersComplete;
  return !IsInBody || BodyCharge.growTo(ExpectedBytes);
}

void message_parser::trimHeaderName() {
  while (!HeaderText.empty() && HeaderText.back() == ' ') {
    HeaderText.pop_back();
  }
}

void message_parser::endHeaderLine() {
  if (!AreHeadersComplete && Part == header_part::Name) {
    trimHeaderName();
    HeaderText += Separator;
  }
  if (!AreHeadersComplete && Part != header_part::None) {
    HeaderText += LineEnd;
  }
  Part = header_part::None;
}

int message_parser::onMessageBegin(http_parser *Parser) {
  self(Parser).IsInMessage = true;
  ++self(Parser).MessagesBegun;
  return 0;
}

int message_parser::onTarget(http_parser *Parser, const char *At,
                             std::size_t Length) {
  message_parser &Self = self(Parser);
  if (std::any_of(At, At + Length, isBlankOrControl)) {
    Self.Failure = parse_state::Malformed;
    return StopParsing;
  }
  Self.Target.append(At, Length);
  return Self.countHeaderBytes(Length) ? 0 : StopParsing;
}

bool message_parser::checkFraming(const char *End) {
  if (FramingBegin >= End) {
    return true;
  }
  std::string_view Bytes(FramingBegin, End);
  FramingBegin = End;
  bool IsSound = checkLineEnds(Framing, Bytes) &&
                 (Kind == kind::Requests || checkStatusLine(Framing, Bytes));
  if (!IsSound) {
    Failure = parse_state::Malformed;
  }
  return IsSound;
}

int message_parser::onStatus(http_parser *Parser, const char *At,
                             std::size_t Length) {
  auto IsBad = [](char C) {
    return isBlankOrControl(C) && C != ' ' && C != '\t';
  };
  if (std::any_of(At, At + Length, IsBad)) {
    self(Parser).Failure = parse_state::Malformed;
    return StopParsing;
  }
  return 0;
}

bool message_parser::checkHeaderName(std::string_view Bytes) {
  for (char C : Bytes) {
    bool MayBeBlank = Kind == kind::Responses && NamePart != name_part::None;
    if (isTokenCharacter(C) && NamePart != name_part::Blanks) {
      NamePart = name_part::Token;
    } else if (C == ' ' && MayBeBlank) {
      NamePart = name_part::Blanks;
    } else {
      Failure = parse_state::Malformed;
      return false;
    }
  }
  return true;
}

int message_parser::onHeaderName(http_parser *Parser, const char *At,
                                 std::size_t Length) {
  message_parser &Self = self(Parser);
  std::size_t Counted = Length;
  if (Self.Part != header_part::Name) {
    Counted += MinLineBytes;
    Self.endHeaderLine();
    Self.Part = header_part::Name;
    Self.NamePart = name_part::None;
  }
  if (!Self.checkHeaderName({At, Length})) {
    return StopParsing;
  }
  // Trailers of a chunked body are dropped.
  if (!Self.AreHeadersComplete) {
    Self.HeaderText.append(At, Length);
  }
  return Self.countHeaderBytes(Counted) ? 0 : StopParsing;
}

int message_parser::onHeaderValue(http_parser *Parser, const char *At,
                                  std::size_t Length) {
  message_parser &Self = self(Parser);
  if (!Self.AreHeadersComplete) {
    if (Self.Part == header_part::Name) {
      Self.trimHeaderName();
      Self.HeaderText += Separator;
    }
    Self.HeaderText.append(At, Length);
  }
  Self.Part = header_part::Value;
  return Self.countHeaderBytes(Length) ? 0 : StopParsing;
}

int message_parser::onHeadersComplete(http_parser *Parser) {
  message_parser &Self = self(Parser);
  Self.endHeaderLine();
  Self.AreHeadersComplete = true;
  Self.HasExpectHeader = findHeaderLine(Self.HeaderText, "Expect").has_value();
  bool IsSound =
      Self.Kind == kind::Requests ||
      (isValidStatus(Parser->status_code) && isCodingKnown(Self.HeaderText));
  if (!IsSound) {
    Self.Failure = parse_state::Malformed;
    return FailHeaders;
  }
  constexpr auto NoLength = std::numeric_limits<std::uint64_t>::max();
  Self.ExpectedBytes = Parser->content_length == NoLength
                           ? 0
                           : std::min<std::uint64_t>(Parser->content_length,
                                                     Self.Limits.MaxBodyBytes);
  // The library reads a body that such a response announces but cannot have.
  bool HasNoBody = Self.Kind == kind::Responses &&
                   (Self.IsHeadResponse || !mayHaveBody(Parser->status_code));
  return HasNoBody ? SkipBody : 0;
}

int message_parser::onBody(http_parser *Parser, const char *At,
                           std::size_t Length) {
  message_parser &Self = self(Parser);
  if (!Self.checkFraming(At) || !Self.countBodyBytes(Length)) {
    return StopParsing;
  }
  Self.FramingBegin = At + Length;
  bool EndsChunk =
      (Parser->flags & F_CHUNKED) != 0 && Parser->content_length == 0;
  if (EndsChunk) {
    Self.Framing.Next = next_byte::Cr;
  }
  // A body that grew in steps would take up to twice its length. Memory for a
  // long one is asked for only once a part of it has come.
  bool IsLong = Self.BodyCharge.bytes() > framework::MaxShortBytes;
  bool MayReserve = IsLong || Self.ExpectedBytes <= framework::MaxShortBytes;
  if (MayReserve && Self.Body.capacity() < Self.ExpectedBytes) {
    Self.Body.reserve(Self.ExpectedBytes);
  }
  Self.Body.append(At, Length);
  return 0;
}

int message_parser::onMessageComplete(http_parser *Parser) {
  message_parser &Self = self(Parser);
  Self.IsComplete = true;
  Self.IsInMessage = false;
  Self.KeepAlive = http_should_keep_alive(Parser) != 0;
  http_parser_pause(Parser, 1);
  return Self.chargeRun() ? 0 : StopParsing;
}

parse_state message_parser::feed(std::string_view Bytes,
                                 std::size_t &Consumed) {
  static const http_parser_settings Callbacks = [] {
    http_parser_settings Settings;
    http_parser_settings_init(&Settings);
    Settings.on_message_begin = onMessageBegin;
    Settings.on_url = onTarget;
    Settings.on_status = onStatus;
    Settings.on_header_field = onHeaderName;
    Settings.on_header_value = onHeaderValue;
    Settings.on_headers_complete = onHeadersComplete;
    Settings.on_body = onBody;
    Settings.on_message_complete = onMessageComplete;
    return Settings;
  }();
  FramingBegin = Bytes.data();
  Consumed =
      http_parser_execute(&Parser, &Callbacks, Bytes.data(), Bytes.size());
  // At an end inside a message the library counts a byte that there is not.
  if (Failure == parse_state::Incomplete && Consumed <= Bytes.size()) {
    checkFraming(Bytes.data() + Consumed);
  }
  return stateAfterFeed(Consumed == Bytes.size());
}

parse_state message_parser::finish() {
  std::size_t Consumed = 0;
  return feed({}, Consumed);
}

parse_state message_parser::stateAfterFeed(bool ConsumedAll) {
  if (Failure != parse_state::Incomplete) {
    return Failure;
  }
  if (IsComplete) {
    return parse_state::Complete;
  }
  bool Failed = HTTP_PARSER_ERRNO(&Parser) != HPE_OK || !ConsumedAll ||
                Parser.upgrade != 0;
  return Failed ? parse_state::Malformed : parse_state::Incomplete;
}

void message_parser::reset() {
  Target.clear();
  // Not clear(), which would keep the memory of a long message.
  HeaderText = std::string();
  Body = std::string();
  HeadCharge.release();
  BodyCharge.release();
  HeaderBytes = 0;
  Framing = {};
  Part = header_part::None;
  AreHeadersComplete = false;
  IsComplete = false;
  http_parser_pause(&Parser, 0);
}

request message_parser::takeRequest() {
  request Request;
  Request.Method = http_method_str(static_cast<http_method>(Parser.method));
  Request.Target = std::move(Target);
  HeaderText.shrink_to_fit();
  Request.Headers = header_list::fromText(std::move(HeaderText));
  Request.Body = shared_body(std::move(Body), std::move(BodyCharge));
  Request.Charge =
      std::make_shared<framework::memory_charge>(std::move(HeadCharge));
  Request.KeepAlive = KeepAlive;
  reset();
  return Request;
}

response message_parser::takeResponse() {
  response Response;
  Response.Status = static_cast<std::uint16_t>(Parser.status_code);
  Response.Headers = header_list::fromText(std::move(HeaderText));
  Response.Body = shared_body(std::move(Body), std::move(BodyCharge));
  Response.KeepAlive = KeepAlive;
  reset();
  return Response;
}

bool message_parser::expectsContinue() const {
  return AreHeadersComplete && !IsComplete && HasExpectHeader;
}

} // namespace figplank::http
