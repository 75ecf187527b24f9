/// \file
/// Incremental parsing of HTTP/1.1 messages with the http_parser library. One
/// parser object parses the successive messages of one connection.
///
/// The library takes some bytes that other recipients read differently, by
/// which a request could be hidden inside another one, or a response get
/// another body. Messages with a byte in a header name that is not allowed
/// there, trailers included, and requests with a blank or control character in
/// the target are malformed (RFC 9112, 3.2 and 5.1). A blank before a colon is
/// such a byte in requests; from responses a proxy removes it. For the lines
/// themselves see framing.h.
#pragma once

#include "framework/memoryaccount.h"
#include "http/framing.h"
#include "http/message.h"

#include <http_parser.h>

#include <cstddef>
#include <string_view>

namespace figplank::http {

struct parser_limits {
  std::size_t MaxHeaderBytes = std::size_t{64} << 10U;
  std::size_t MaxBodyBytes = std::size_t{64} << 20U;
  /// Charged for what a message holds. Must outlive the parser and its
  /// messages. Null for no common bound.
  framework::memory_account *Account = nullptr;
};

enum class parse_state : std::uint8_t {
  /// More bytes are needed.
  Incomplete,
  /// A message is complete. The bytes that follow it were not consumed.
  Complete,
  Malformed,
  HeadersTooLarge,
  BodyTooLarge,
  /// The account has no room for the message.
  NoRoom,
};

/// What a request with a head of \p HeadBytes bytes is charged while it runs,
/// beside its body.
std::size_t chargeOfRun(std::size_t HeadBytes);

/// Parses either requests or responses.
class message_parser {
public:
  enum class kind : std::uint8_t { Requests, Responses };

  message_parser(kind Kind, parser_limits Limits);
  message_parser(const message_parser &) = delete;
  message_parser &operator=(const message_parser &) = delete;

  /// Parses \p Bytes up to the end of a message. Sets \p Consumed to the number
  /// of bytes parsed.
  parse_state feed(std::string_view Bytes, std::size_t &Consumed);

  /// Signals the end of the connection, which completes a response without a
  /// length.
  parse_state finish();

  /// Returns whether a message has begun and is not complete yet.
  bool isInsideMessage() const { return IsInMessage; }

  /// Returns whether a message has begun whose headers are not complete yet.
  bool isInsideHeaders() const { return IsInMessage && !AreHeadersComplete; }

  /// Number of messages that have begun so far.
  std::uint64_t messagesBegun() const { return MessagesBegun; }

  /// Sets whether the next responses are to HEAD requests and have no body.
  void expectHeadResponse(bool IsHead) { IsHeadResponse = IsHead; }

  /// Returns the complete request and resets the parser for the next one.
  request takeRequest();
  /// Returns the complete response and resets the parser for the next one.
  response takeResponse();

  /// When the length of an incomplete body is known, charges it as a whole.
  /// Returns false if the account has no room for it yet.
  bool reserveBody();

  /// Bytes charged for the current message.
  std::size_t chargedBytes() const {
    return HeadCharge.bytes() + BodyCharge.bytes();
  }

  /// Returns whether the headers are complete and the client expects a
  /// `100 Continue` before it sends the body.
  bool expectsContinue() const;

private:
  /// The part of a header line that was read last.
  enum class header_part : std::uint8_t { None, Name, Value };
  /// The part of a header name that was read last.
  enum class name_part : std::uint8_t { None, Token, Blanks };

  static int onMessageBegin(http_parser *Parser);
  static int onTarget(http_parser *Parser, const char *At, std::size_t Length);
  static int onHeaderName(http_parser *Parser, const char *At,
                          std::size_t Length);
  static int onHeaderValue(http_parser *Parser, const char *At,
                           std::size_t Length);
  static int onHeadersComplete(http_parser *Parser);
  static int onStatus(http_parser *Parser, const char *At, std::size_t Length);
  static int onBody(http_parser *Parser, const char *At, std::size_t Length);
  static int onMessageComplete(http_parser *Parser);
  static message_parser &self(http_parser *Parser);

  /// Checks the bytes of this feed up to \p End that frame the message and have
  /// not been checked yet. Sets Failure and returns false if one is malformed.
  bool checkFraming(const char *End);
  /// Checks the next \p Bytes of a header name. Sets Failure and returns false
  /// if one is not allowed there.
  bool checkHeaderName(std::string_view Bytes);
  /// Takes the name of the header line off the blanks between it and its colon.
  void trimHeaderName();
  /// Returns false if a limit is exceeded.
  bool countHeaderBytes(std::size_t Length);
  /// Ends the header line that has begun, if there is one.
  void endHeaderLine();
  /// Charges a complete request for what is held while it runs.
  bool chargeRun();
  /// Counts \p Length more bytes of the body. Sets Failure and returns false if
  /// a limit is exceeded.
  bool countBodyBytes(std::size_t Length);
  parse_state stateAfterFeed(bool ConsumedAll);
  void reset();

  http_parser Parser{};
  kind Kind;
  parser_limits Limits;
  std::string Target;
  /// Header lines as in header_list::text(); the last one may be incomplete.
  std::string HeaderText;
  std::string Body;
  std::size_t HeaderBytes = 0;
  /// Announced length of the body; 0 if none is announced.
  std::size_t ExpectedBytes = 0;
  framework::memory_charge HeadCharge;
  framework::memory_charge BodyCharge;
  std::uint64_t MessagesBegun = 0;
  framing_progress Framing;
  /// The first byte of this feed that frames the message and was not checked.
  const char *FramingBegin = nullptr;
  header_part Part = header_part::None;
  name_part NamePart = name_part::None;
  bool IsInMessage = false;
  bool AreHeadersComplete = false;
  bool HasExpectHeader = false;
  bool IsComplete = false;
  bool IsHeadResponse = false;
  bool KeepAlive = true;
  /// The limit that was exceeded; Incomplete if none was.
  parse_state Failure = parse_state::Incomplete;
};

} // namespace figplank::http
