#include "node/platformreader.h"

#include "framework/tests/joined.h"
#include "standins/rawserver.h"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace figplank;
using namespace figplank::node;
using figplank::framework::tests::joined;
using std::chrono::milliseconds;

namespace {

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Body =
    R"({"revision":4,"entries":[{"key":"a","revision":4,"value":"1"}]})";
const std::string Length =
    "Content-Length: " + std::to_string(Body.size()) + "\r\n";
const std::string Sound = Ok + Length + "\r\n" + Body;

} // namespace

/// A platform whose answers to watches are written by hand.
TEST_GROUP(BrokenWatches) {
  std::unique_ptr<standins::raw_server> Platform;
  platform_source Source;

  void serveWith(const std::string &Text, bool StaysOpen) {
    Platform = std::make_unique<standins::raw_server>(
        [Text, StaysOpen](int Connection, const std::string &) {
          standins::sendText(Connection, Text);
          return StaysOpen;
        });
    Source = watchSource(Platform->address(), "");
  }
  platform_update read() {
    return Source.Read({1, {milliseconds(100), milliseconds(400)}});
  }
  bool isRead(const std::string &Text) {
    serveWith(Text, false);
    return read().Reached;
  }
};

TEST(BrokenWatches, SoundAnswersAreRead) {
  CHECK(isRead(Sound));
  CHECK(isRead(Ok + "\r\n" + Body));
  CHECK(isRead("HTTP/1.0 200 OK\r\n\r\n" + Body));
}

TEST(BrokenWatches, BrokenAnswersAreNotRead) {
  for (const std::string &Line : standins::linesWithMalformedNames()) {
    CHECK_FALSE_TEXT(isRead(joined({Ok, Line, "\r\n", Length, "\r\n", Body})),
                     Line.c_str());
  }
  for (const std::string &Text :
       {joined({Ok, " Bad: 3\r\n", Length, "\r\n", Body}),
        joined({Ok, Length, "Content-Length: 3\r\n\r\n", Body}),
        joined({Ok, "Transfer-Encoding: gzip\r\n\r\n", Body}),
        joined({"HTTP/1.1 000 OK\r\n", Length, "\r\n", Body}),
        Sound.substr(0, Sound.size() - 1), Ok + "\r\n" + Body.substr(0, 40)}) {
    CHECK_FALSE_TEXT(isRead(Text), Text.c_str());
  }
}

// Guards against bytes behind an answer that are read as the next one.
TEST(BrokenWatches, BytesAfterAnAnswerAreNotReadAsTheNext) {
  // The library reads blocks of 4 KiB and drops what is left of one.
  constexpr std::size_t BlockBytes = 4'096;
  serveWith(Sound + std::string(BlockBytes - Sound.size(), 'f') + Ok +
                "Content-Length: 27\r\n\r\n" + R"({"revision":4,"entries":[]})",
            true);
  for (int I = 0; I < 3; ++I) {
    platform_update Update = read();
    CHECK(Update.Reached);
    LONGS_EQUAL(1, Update.Entries.size());
  }
}
