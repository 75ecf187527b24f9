#include "http/headerlist.h"

#include "http/parser.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace figplank;
using namespace figplank::http;

TEST_GROUP(HeaderList) {
  header_list List{{"Host", "h"}, {"X-Empty", ""}, {"x-name", "a: b"}};
};

TEST(HeaderList, GivesLinesInTheirOrder) {
  const std::vector<header> Expected{
      {"Host", "h"}, {"X-Empty", ""}, {"x-name", "a: b"}};
  CHECK(std::vector<header>(List.begin(), List.end()) == Expected);
  LONGS_EQUAL(3, List.size());
  CHECK(header_list().begin() == header_list().end());
}

TEST(HeaderList, FindsNamesInAnyCase) {
  CHECK(findHeader(List, "X-NAME") == "a: b");
  CHECK(findHeader(List, "x-empty") == "");
  CHECK_FALSE(findHeader(List, "X").has_value());
}

TEST(HeaderList, CopiesDoNotChangeWithTheirOriginal) {
  header_list Copy = List;
  setHeader(List, "host", "other");
  List.add("X-Added", "1");
  CHECK(findHeader(Copy, "Host") == "h");
  CHECK_FALSE(findHeader(Copy, "X-Added").has_value());
  CHECK(findHeader(List, "Host") == "other");
  LONGS_EQUAL(4, List.size());
}

// Guards against a value of another node that would add lines of its own.
TEST(HeaderList, LineBreaksBecomeSpaces) {
  header_list Sent;
  Sent.add("X", "1\r\nInjected: 2");
  LONGS_EQUAL(1, Sent.size());
  CHECK(findHeader(Sent, "X") == "1  Injected: 2");
}

// Guards against a head of very many short lines that takes many times its
// length.
TEST(HeaderList, TakesAboutTheLengthOfItsLines) {
  std::string Head = "GET / HTTP/1.1\r\n";
  while (Head.size() < 16'000) {
    Head += "a:\r\n";
  }
  message_parser Parser(message_parser::kind::Requests, {});
  std::size_t Consumed = 0;
  CHECK(Parser.feed(Head + "\r\n", Consumed) == parse_state::Complete);
  request Request = Parser.takeRequest();
  CHECK(Request.Headers.text().capacity() < 2 * Head.size());
  header_list Copy = Request.Headers;
  POINTERS_EQUAL(&Request.Headers.text(), &Copy.text());
}

// Guards against a list of connection options whose removal takes seconds.
TEST(HeaderList, ManyConnectionOptionsAreRemovedInOnePass) {
  std::string Options = "x-last";
  header_list Long{{"X-Last", "1"}, {"X-Kept", "2"}};
  for (int I = 0; I < 100'000; ++I) {
    Options += ",o" + std::to_string(I);
    Long.add("o" + std::to_string(I), "v");
  }
  Long.add("Connection", Options);
  removeHopByHopHeaders(Long);
  STRCMP_EQUAL("X-Kept: 2\r\n", Long.text().c_str());
}
