/// \file
/// Incremental parsing of HTTP/1.1 messages with http_parser. One parser reads
/// the messages of one connection, one after the other.
#pragma once

#include "http/message.h"

#include <http_parser.h>

#include <cstddef>
#include <string_view>

namespace figplank::http {

struct parser_limits {
  std::size_t MaxHeaderBytes = std::size_t{64} << 10U;
  std::size_t MaxBodyBytes = std::size_t{64} << 20U;
};

enum class parse_state : std::uint8_t {
  /// More bytes are needed.
  Incomplete,
  /// A whole message has been read; the bytes behind it were not consumed.
  Complete,
  Malformed,
  HeadersTooLarge,
  BodyTooLarge,
};

/// Reads either requests or responses.
class message_parser {
public:
  enum class kind : std::uint8_t { Requests, Responses };

  message_parser(kind Kind, parser_limits Limits);
  message_parser(const message_parser &) = delete;
  message_parser &operator=(const message_parser &) = delete;

  /// Parses \p Bytes up to the end of a message. \p Consumed is set to the
  /// number of bytes taken.
  parse_state feed(std::string_view Bytes, std::size_t &Consumed);

  /// The connection has ended: a response without a length is complete then.
  parse_state finish();

  /// Bytes of a message have been read and its end has not.
  bool isInsideMessage() const { return Inside; }

  /// The next response answers a HEAD request and has no body.
  void expectHead(bool IsHead) { AnswersHead = IsHead; }

  /// The request that was completed; the parser is ready for the next one.
  request takeRequest();
  response takeResponse();

  /// The head was read, and the sender waits for leave to send the body.
  bool wantsContinue() const;

private:
  static int onBegin(http_parser *Parser);
  static int onTarget(http_parser *Parser, const char *At, std::size_t Length);
  static int onName(http_parser *Parser, const char *At, std::size_t Length);
  static int onValue(http_parser *Parser, const char *At, std::size_t Length);
  static int onHead(http_parser *Parser);
  static int onBody(http_parser *Parser, const char *At, std::size_t Length);
  static int onComplete(http_parser *Parser);
  static message_parser &self(http_parser *Parser);

  bool countHeadBytes(std::size_t Length);
  parse_state stateAfter(bool UsedAll);
  void reset();

  http_parser Parser{};
  parser_limits Limits;
  std::string Target;
  header_list Headers;
  std::string Body;
  std::size_t HeadBytes = 0;
  bool InName = false;
  bool Inside = false;
  bool HeadDone = false;
  bool Done = false;
  bool AnswersHead = false;
  bool KeepAlive = true;
  parse_state Failure = parse_state::Incomplete;
};

} // namespace figplank::http
