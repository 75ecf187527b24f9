#include "cli/commands.h"

#include "framework/tests/joined.h"
#include "standins/rawserver.h"

#include <boost/leaf/handle_errors.hpp>

#include <CppUTest/TestHarness.h>

using namespace figplank;
using namespace figplank::cli;
using figplank::framework::tests::joined;

namespace {

namespace leaf = boost::leaf;

std::string dataPath(const char *Name) {
  return std::string(FIGPLANK_TEST_DATA) + "/" + Name;
}

/// Returns the message of the error on reading \p File; without an error, the
/// empty string or "empty" for an empty document.
std::string readError(const std::string &File) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(Document, readDocument(File));
        return std::string(Document.empty() ? "empty" : "");
      },
      [](const cli_error &Error) { return describe(Error); },
      []() { return std::string("another error"); });
}

} // namespace

TEST_GROUP(Commands){};

TEST(Commands, ValidFilesPassTheCheck) {
  LONGS_EQUAL(Success, runCheck({dataPath("good.json")}, false));
}

TEST(Commands, AllFindingsOfAllKeysAreListedWithTheirLocations) {
  nlohmann::json Document{{"templates/a", {{"service", "s"}}},
                          {"parameters/o/a", {{"rank", 70}}}};
  framework::findings Found = checkDocument("f.json", Document);
  LONGS_EQUAL(5, Found.size());
  STRCMP_EQUAL("f.json: parameters/o/a: /rank", Found[0].Location.c_str());
  STRCMP_EQUAL("f.json: templates/a: /path", Found[1].Location.c_str());
}

TEST(Commands, UnreadableAndInvalidFilesHaveDifferentExitCodes) {
  LONGS_EQUAL(Unreachable, runCheck({dataPath("missing.json")}, false));
  LONGS_EQUAL(Refused, runCheck({dataPath("bad.json")}, true));
  STRCMP_EQUAL((dataPath("missing.json") + ": cannot be read").c_str(),
               readError(dataPath("missing.json")).c_str());
  STRCMP_EQUAL(
      (dataPath("list.json") + ": is not a JSON object of keys and values")
          .c_str(),
      readError(dataPath("list.json")).c_str());
}

TEST(Commands, NodeWithoutResponseIsUnreachable) {
  LONGS_EQUAL(Unreachable, runStatus("127.0.0.1:1", false));
}

// A status that is cut short, or that HTTP does not have, is not shown.
TEST(Commands, BrokenStatusAnswersAreRefused) {
  const std::string Status = R"({"name":"n"})";
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  auto RunWith = [](const std::string &Text, bool Resets) {
    standins::raw_server Node([&](int Connection, const std::string &) {
      standins::sendText(Connection, Text);
      if (Resets) {
        standins::readFor(Connection, std::chrono::milliseconds(10));
        standins::resetWhenClosed(Connection);
      }
      return false;
    });
    return runStatus(Node.address(), true);
  };
  LONGS_EQUAL(Success, RunWith(Ok + "\r\n" + Status, false));
  LONGS_EQUAL(Unreachable, RunWith(Ok + "\r\n" + Status, true));
  LONGS_EQUAL(Unreachable, RunWith(Ok + "\r\n" + Status.substr(0, 9), false));
  LONGS_EQUAL(Unreachable, RunWith("HTTP/1.1 000 OK\r\n\r\n" + Status, false));
  for (const std::string &Line : standins::linesWithMalformedNames()) {
    LONGS_EQUAL_TEXT(Unreachable,
                     RunWith(joined({Ok, Line, "\r\n\r\n", Status}), false),
                     Line.c_str());
  }
}
