#include "http/message.h"

#include <CppUTest/TestHarness.h>

using namespace figplank::http;

TEST_GROUP(Message){};

TEST(Message, HopByHopHeadersAndThoseListedInConnectionAreRemoved) {
  header_list Headers{{"Connection", "keep-alive, X-Hop"}, {"X-Hop", "1"},
                      {"Keep-Alive", "timeout=5"},         {"Te", "trailers"},
                      {"Transfer-Encoding", "chunked"},    {"X-Kept", "2"}};
  removeHopByHopHeaders(Headers);
  LONGS_EQUAL(1, Headers.size());
  STRCMP_EQUAL("X-Kept: 2\r\n", Headers.text().c_str());
}

TEST(Message, RequestIsSerialisedWithItsContentLength) {
  request Request{"POST", "/a?b=c", {{"Host", "h"}}, "body", true};
  STRCMP_EQUAL("POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
               "body",
               (formatRequestHead(Request) + Request.Body.text()).c_str());
}

TEST(Message, ResponseHeadHasTheContentLength) {
  response Response{200, {}, "abc", true};
  STRCMP_EQUAL("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
               formatResponseHead(Response, false).c_str());
}

TEST(Message, CloseAddsTheConnectionHeader) {
  response Response{503, {}, "", true};
  STRCMP_EQUAL("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
               "Connection: close\r\n\r\n",
               formatResponseHead(Response, true).c_str());
}
