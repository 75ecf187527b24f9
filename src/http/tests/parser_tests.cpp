#include "http/parser.h"

#include "framework/tests/joined.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace figplank::http;
using figplank::framework::tests::joined;

namespace {

constexpr auto Requests = message_parser::kind::Requests;
constexpr auto Responses = message_parser::kind::Responses;

/// Feeds \p Text in pieces of \p PieceBytes bytes.
parse_state feedInPieces(message_parser &Parser, std::string_view Text,
                         std::size_t PieceBytes) {
  parse_state State = parse_state::Incomplete;
  while (!Text.empty() && State == parse_state::Incomplete) {
    std::size_t Consumed = 0;
    State = Parser.feed(Text.substr(0, PieceBytes), Consumed);
    Text.remove_prefix(Consumed);
  }
  return State;
}

/// Checks that the parser comes to \p Expected, however \p Text arrives.
void checkState(message_parser::kind Kind, const std::string &Text,
                parse_state Expected) {
  for (std::size_t PieceBytes : {Text.size(), std::size_t{1}, std::size_t{2},
                                 std::size_t{3}, std::size_t{7}}) {
    message_parser Parser(Kind, {});
    parse_state State = feedInPieces(Parser, Text, PieceBytes);
    CHECK_TEXT(State == Expected, Text.c_str());
  }
}

} // namespace

TEST_GROUP(Parser){
    static parse_state feedAll(message_parser & Parser,
                               std::string_view Bytes){std::size_t Consumed = 0;
return Parser.feed(Bytes, Consumed);
}
}
;

TEST(Parser, PipelinedRequestsAreParsedOneAtATime) {
  message_parser Parser(Requests, {});
  std::string Bytes = "GET /one HTTP/1.1\r\nHost: a\r\n\r\n"
                      "POST /two HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiGET /";
  std::size_t Consumed = 0;
  CHECK(Parser.feed(Bytes, Consumed) == parse_state::Complete);
  Bytes.erase(0, Consumed);
  STRCMP_EQUAL("/one", Parser.takeRequest().Target.c_str());
  CHECK(Parser.feed(Bytes, Consumed) == parse_state::Complete);
  Bytes.erase(0, Consumed);
  request Second = Parser.takeRequest();
  STRCMP_EQUAL("/two", Second.Target.c_str());
  STRCMP_EQUAL("hi", Second.Body.text().c_str());
  CHECK(Parser.feed(Bytes, Consumed) == parse_state::Incomplete);
  CHECK(Parser.isInsideMessage());
}

TEST(Parser, MessageMayBeFedByteByByte) {
  message_parser Parser(Requests, {});
  std::string Bytes = "POST /a HTTP/1.1\r\nX-Name: v w\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n"
                      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  parse_state State = parse_state::Incomplete;
  for (char Byte : Bytes) {
    State = feedAll(Parser, {&Byte, 1});
  }
  CHECK(State == parse_state::Complete);
  request Request = Parser.takeRequest();
  STRCMP_EQUAL("abcde", Request.Body.text().c_str());
  CHECK(findHeader(Request.Headers, "x-name") == "v w");
}

TEST(Parser, ContentLengthWithChunkedEncodingIsMalformed) {
  message_parser Parser(Requests, {});
  CHECK(feedAll(Parser, "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
        parse_state::Malformed);
}

TEST(Parser, ConflictingContentLengthsAreMalformed) {
  message_parser Parser(Requests, {});
  CHECK(feedAll(Parser,
                "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                "Content-Length: 4\r\n\r\nabcd") == parse_state::Malformed);
}

TEST(Parser, HeaderAndBodySizesAreLimited) {
  parser_limits Limits{40, 3};
  message_parser LongHeaders(Requests, Limits);
  CHECK(feedAll(LongHeaders, "GET / HTTP/1.1\r\nX: " + std::string(50, 'x')) ==
        parse_state::HeadersTooLarge);
  message_parser LargeBody(Requests, Limits);
  CHECK(
      feedAll(LargeBody, "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nabcd") ==
      parse_state::BodyTooLarge);
}

TEST(Parser, ResponseWithoutLengthEndsWithTheConnection) {
  message_parser Parser(Responses, {});
  CHECK(feedAll(Parser, "HTTP/1.1 200 OK\r\n\r\npart") ==
        parse_state::Incomplete);
  CHECK(Parser.finish() == parse_state::Complete);
  response Response = Parser.takeResponse();
  STRCMP_EQUAL("part", Response.Body.text().c_str());
  CHECK_FALSE(Response.KeepAlive);
}

TEST(Parser, TruncatedResponseIsNotComplete) {
  message_parser Parser(Responses, {});
  CHECK(feedAll(Parser, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart") ==
        parse_state::Incomplete);
  CHECK(Parser.finish() == parse_state::Malformed);
}

// Guards against a request that is hidden inside another one, since another
// recipient reads a byte differently (UNASKED).
TEST(Parser, RequestsThatOthersMayReadDifferentlyAreMalformed) {
  const std::string Body = "\r\n5\r\nabcde\r\n0\r\n\r\n";
  const std::string Start = "POST /a HTTP/1.1\r\nHost: h\r\n";
  for (const char *Name : {"Transfer-Encoding", "Content-Length", "Connection",
                           "Expect", "Host", "X-Other"}) {
    for (const char *Blank : {" ", "  ", "\t", " \t", "\x01", "\x7f", "("}) {
      message_parser Parser(Requests, {});
      std::string Text = Start;
      Text.append(Name).append(Blank).append(": 5\r\n").append(Body);
      CHECK(feedAll(Parser, Text) == parse_state::Malformed);
    }
  }
  for (const char *Line :
       {"Transfer-Encoding : chunked", "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Content-Length: 5\r\nContent-Length: 6", "Content-Length: 5, 6",
        "Content-Length: +5", "Content-Length: -5", "Content-Length: 0x5",
        "Content-Length: 5 6", "Content-Length: 99999999999999999999",
        ": chunked", "X-Other: a\rTransfer-Encoding: chunked",
        "X-Other: a\x01"}) {
    message_parser Parser(Requests, {});
    std::string Text = Start;
    Text.append(Line).append("\r\n").append(Body);
    CHECK(feedAll(Parser, Text) == parse_state::Malformed);
  }
  for (const char *Target : {"/a\tb", "/a\x0c", "/a\x7f", "/a\x01"}) {
    message_parser Parser(Requests, {});
    std::string Line = "GET " + std::string(Target) + " HTTP/1.1\r\n\r\n";
    CHECK(feedAll(Parser, Line) == parse_state::Malformed);
  }
}

// A folded line is passed on as one line.
TEST(Parser, FoldedLineIsPartOfTheValueBeforeIt) {
  message_parser Parser(Requests, {});
  CHECK(feedAll(Parser, "GET /a HTTP/1.1\r\nX-Name: v\r\n"
                        " Transfer-Encoding: chunked\r\n\r\n") ==
        parse_state::Complete);
  request Request = Parser.takeRequest();
  LONGS_EQUAL(1, Request.Headers.size());
  CHECK(findHeader(Request.Headers, "X-Name") ==
        "v Transfer-Encoding: chunked");
}

TEST(Parser, BlankBeforeAColonIsMalformedInEachPart) {
  const std::string Bytes = "GET /a HTTP/1.1\r\nX-Name : v\r\n\r\n";
  message_parser Parser(Requests, {});
  parse_state State = parse_state::Incomplete;
  for (char Byte : Bytes) {
    State = feedAll(Parser, {&Byte, 1});
    if (State != parse_state::Incomplete) {
      break;
    }
  }
  CHECK(State == parse_state::Malformed);
  message_parser Trailers(Requests, {});
  CHECK(feedAll(Trailers,
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\nX-Later : 1\r\n\r\n") == parse_state::Malformed);
}

TEST(Parser, BlankBeforeAColonIsRemovedFromResponses) {
  message_parser Parser(Responses, {});
  CHECK(feedAll(Parser, "HTTP/1.1 200 OK\r\nX-Name  : v\r\nX-Empty :\r\n"
                        "Content-Length: 0\r\n\r\n") == parse_state::Complete);
  response Response = Parser.takeResponse();
  CHECK(findHeader(Response.Headers, "X-Name") == "v");
  CHECK(findHeader(Response.Headers, "X-Empty") == "");
}

TEST(Parser, BytesThatAreNotHttpAreMalformed) {
  message_parser Parser(Responses, {});
  CHECK(feedAll(Parser, "garbage\r\n\r\n") == parse_state::Malformed);
}

TEST(Parser, TrailersAreNotTakenForHeaders) {
  message_parser Parser(Responses, {});
  CHECK(feedAll(Parser,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "1\r\na\r\n0\r\nX-Later: 1\r\n\r\n") == parse_state::Complete);
  response Response = Parser.takeResponse();
  CHECK_FALSE(findHeader(Response.Headers, "X-Later").has_value());
  STRCMP_EQUAL("a", Response.Body.text().c_str());
}

TEST(Parser, LargeBodiesShareAnAccount) {
  figplank::framework::memory_account Account;
  Account.MaxLongBytes = std::size_t{1} << 20U;
  parser_limits Limits;
  Limits.Account = &Account;
  message_parser Endless(Responses, Limits);
  const std::string Chunk = "400\r\n" + std::string(0x400, 'x') + "\r\n";
  parse_state State =
      feedAll(Endless, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int I = 0; I < 2'000 && State == parse_state::Incomplete; ++I) {
    State = feedAll(Endless, Chunk);
  }
  CHECK(State == parse_state::NoRoom);
  CHECK(Account.LongBytes <= Account.MaxLongBytes);
  {
    message_parser Short(Responses, Limits);
    CHECK(feedAll(Short, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody") ==
          parse_state::Complete);
    message_parser Large(Responses, Limits);
    CHECK(feedAll(Large, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" +
                             std::string(200'000, 'x')) == parse_state::NoRoom);
  }
}

TEST(Parser, ChargeEndsWithTheBody) {
  figplank::framework::memory_account Account;
  Account.MaxLongBytes = std::size_t{1} << 20U;
  parser_limits Limits;
  Limits.Account = &Account;
  {
    message_parser Parser(Responses, Limits);
    CHECK(feedAll(Parser, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" +
                              std::string(200'000, 'x')) ==
          parse_state::Complete);
    CHECK(figplank::framework::usedBytes(Account) >= 200'000);
    (void)Parser.takeResponse();
    LONGS_EQUAL(0, figplank::framework::usedBytes(Account));
    feedAll(Parser, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" +
                        std::string(100'000, 'x'));
    CHECK(figplank::framework::usedBytes(Account) >= 100'000);
  }
  LONGS_EQUAL(0, figplank::framework::usedBytes(Account));
}

// Guards against an answer with a field name that HTTP does not have, which the
// client gets with that line, or with another body than the server's (MIXED).
TEST(Parser, ResponsesWithMalformedFieldNamesAreMalformed) {
  using namespace std::string_literals;
  const std::string Body = "Content-Length: 4\r\n\r\nbody";
  for (const std::string &Name :
       {"Bad Name"s, "Content Length"s, " Bad"s, "  Bad"s, " "s, "Bad  Name "s,
        "Bad\tName"s, "Bad\t"s, "Bad\0Name"s, "Bad\x01"s, "Bad\x7f"s,
        "Bad\x80"s, "Bad("s, ""s}) {
    const std::string Line = Name + ": 3\r\n";
    const std::string Ok = "HTTP/1.1 200 OK\r\n";
    const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
    std::vector<std::string> Texts{joined({Ok, Line, Body})};
    // Elsewhere a line that begins with a blank folds the one before it.
    if (!Name.starts_with(" ")) {
      Texts.push_back(joined({Ok, "Id: a\r\n", Line, Body}));
      Texts.push_back(joined({Ok, "Content-Length: 4\r\n", Line, "\r\nbody"}));
      Texts.push_back(joined({Ok, Chunked, "1\r\na\r\n0\r\n", Line, "\r\n"}));
      Texts.push_back(
          joined({Ok, Chunked, "1\r\na\r\n0\r\nId: a\r\n", Line, "\r\n"}));
    }
    for (const std::string &Text : Texts) {
      checkState(Responses, Text, parse_state::Malformed);
    }
  }
}

TEST(Parser, TrailerThatBeginsWithABlankIsMalformed) {
  checkState(Responses,
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
             "1\r\na\r\n0\r\n Bad: 3\r\n\r\n",
             parse_state::Malformed);
}

// Guards against an answer without a body whose client waits for one until its
// deadline, or gets bytes of another answer in it (RFC 9112, 6.3).
TEST(Parser, ResponsesThatHaveNoBodyEndWithTheirHead) {
  for (const char *Status : {"103", "204", "304"}) {
    for (const char *Line :
         {"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
      message_parser Parser(Responses, {});
      std::size_t Consumed = 0;
      const std::string Head =
          "HTTP/1.1 " + std::string(Status) + " None\r\n" + Line + "\r\n";
      CHECK_TEXT(Parser.feed(Head + "body", Consumed) == parse_state::Complete,
                 Head.c_str());
      LONGS_EQUAL(Head.size(), Consumed);
      CHECK(Parser.takeResponse().Body.empty());
      CHECK(feedAll(Parser, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na") ==
            parse_state::Complete);
    }
  }
}

// Guards against an answer whose lines are malformed, which the client gets as
// an answer.
TEST(Parser, MessagesWithMalformedLineEndsAreMalformed) {
  for (bool IsRequest : {false, true}) {
    const auto Kind = IsRequest ? Requests : Responses;
    const std::string Start =
        IsRequest ? "POST / HTTP/1.1\r\n" : "HTTP/1.1 200 OK\r\n";
    const std::string Length = "Content-Length: 4\r\n";
    const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
    for (const std::string &Rest :
         {Length + "\rXbody", "Id: a\rX" + Length + "\r\nbody",
          Chunked + "4\r\nbodyXX0\r\n\r\n", Chunked + "4\r\nbody\rX0\r\n\r\n",
          Chunked + "4\r\nbodyX\n0\r\n\r\n", Chunked + "4\rXbody\r\n0\r\n\r\n",
          Chunked + "4\r\nbody\r\n0\rX\r\n", Chunked + "0\r\n\rX",
          Chunked + "4\r\nbody\r\n0\r\nId: a\r\n\rX",
          Chunked + "4\r\nbody\n0\r\n\r\n"}) {
      checkState(Kind, Start + Rest, parse_state::Malformed);
    }
    for (const std::string &Rest :
         {Length + "\r\n\rX\r\r", Chunked + "4\r\n\rX\r\r\r\n0\r\n\r\n",
          Chunked + "1\r\n\r\r\n1\r\n\n\r\n0\r\nId: a\r\n\r\n"}) {
      checkState(Kind, Start + Rest, parse_state::Complete);
    }
  }
}

TEST(Parser, ResponsesWithAMalformedStatusLineAreMalformed) {
  using namespace std::string_literals;
  const std::string Rest = "\r\nContent-Length: 4\r\n\r\nbody";
  for (const std::string &Line :
       {"HTTP/1.1 0200 OK"s, "HTTP/1.1 00200 OK"s, "HTTP/1.1 20 OK"s,
        "HTTP/1.1 2000 OK"s, "HTTP/1.1 -20 OK"s, "HTTP/1.1 200OK"s,
        "HTTP/1.1  200 OK"s, "HTTP/1.1\t200 OK"s, "HTTP/2.5 200 OK"s,
        "HTTP/0.9 200 OK"s, "HTTP/1.10 200 OK"s, "http/1.1 200 OK"s,
        "HTTP/1.1 200 OK\rX"s, "HTTP/1.1 200\rX"s, "HTTP/1.1 200 O\x01K"s,
        "HTTP/1.1 200 O\0K"s, "HTTP/1.1 200 \x7f"s}) {
    checkState(Responses, Line + Rest, parse_state::Malformed);
  }
  for (const char *Line :
       {"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK",
        "\r\nHTTP/1.1 200 \xc3\xa4 \t!"}) {
    checkState(Responses, Line + Rest, parse_state::Complete);
  }
}

// Guards against a body that the client gets in a coding of which it is not
// told, or with the lines between its chunks.
TEST(Parser, ResponsesInACodingThatIsNotTakenOffAreMalformed) {
  const std::string Start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: ";
  const std::string Body = "\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
  for (const char *Coding :
       {"gzip, chunked", "gzip", "chunked, gzip", "identity", "xchunked", "",
        "chunked;q=1", "chunked, chunked", "gzip\r\nTransfer-Encoding: chunked",
        "chunked\r\nTransfer-Encoding: gzip",
        "chunked\r\nTransfer-Encoding: chunked"}) {
    checkState(Responses, joined({Start, Coding, Body}),
               parse_state::Malformed);
  }
  for (const char *Coding : {"chunked", "CHUNKED", "chunked "}) {
    checkState(Responses, joined({Start, Coding, Body}), parse_state::Complete);
  }
}
