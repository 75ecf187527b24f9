#include "node/wire.h"

#include <CppUTest/TestHarness.h>

#include <capnp/message.h>

using namespace figplank;
using namespace figplank::node;

namespace {

constexpr std::uint64_t Attempt = 7;

work_answer makeAnswer(std::uint16_t Status, const http::header_list &Headers) {
  work_answer Answer;
  Answer.Outcome = framework::outcome::Completed;
  Answer.Status = Status;
  Answer.Headers = Headers;
  Answer.Body = http::shared_body("body");
  return Answer;
}

/// Sends \p Answer to another node and reads it there.
std::optional<work_answer> passOn(const work_answer &Answer) {
  capnp::MallocMessageBuilder Message;
  auto Written = Message.initRoot<rpc::WorkAnswer>();
  writeAnswer(Written, Answer, Attempt);
  static framework::memory_account Account;
  return readAnswer(Written.asReader(), Attempt, Account);
}

/// \p Last behind as many lines as are sent one by one, or as a text.
http::header_list headersWith(const http::header &Last, unsigned Lines) {
  http::header_list Headers;
  for (unsigned I = 0; I < Lines; ++I) {
    Headers.add("X-Line", "1");
  }
  Headers.add(Last.Name, Last.Value);
  return Headers;
}

} // namespace

TEST_GROUP(Wire){};

TEST(Wire, AnswersArriveAsTheyWereSent) {
  for (unsigned Lines : {0U, 100U}) {
    auto Answer = passOn(makeAnswer(404, headersWith({"X-Last", ""}, Lines)));
    CHECK(Answer.has_value());
    LONGS_EQUAL(404, Answer->Status);
    LONGS_EQUAL(Lines + 1, Answer->Headers.size());
    STRCMP_EQUAL("body", Answer->Body.text().c_str());
  }
  CHECK(passOn(makeAnswer(0, {})).has_value());
}

// Guards against a broken answer of a backend server that a node of an earlier
// version passes on.
TEST(Wire, AnswersThatHttpDoesNotHaveAreInvalid) {
  using namespace std::string_view_literals;
  for (std::string_view Name :
       {"Bad Name"sv, " Bad"sv, "Bad "sv, ""sv, "Bad\tName"sv, "Bad\0Name"sv,
        "Bad\x01"sv, "Bad\r\nX"sv, "Bad\x80"sv, "Bad("sv}) {
    for (unsigned Lines : {0U, 100U}) {
      CHECK_FALSE(
          passOn(makeAnswer(200, headersWith({Name, "3"}, Lines))).has_value());
    }
  }
  for (std::uint16_t Status : {1, 99, 600, 999, 2'000}) {
    CHECK_FALSE(passOn(makeAnswer(Status, {})).has_value());
  }
}
