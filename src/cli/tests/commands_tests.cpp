#include "cli/commands.h"

#include <boost/leaf/handle_errors.hpp>

#include <CppUTest/TestHarness.h>

using namespace figplank;
using namespace figplank::cli;

namespace {

namespace leaf = boost::leaf;

std::string data(const char *Name) {
  return std::string(FIGPLANK_TEST_DATA) + "/" + Name;
}

/// The error that reading \p File ends with, or nothing.
std::string errorOf(const std::string &File) {
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

TEST(Commands, GoodFilesPassTheCheck) {
  LONGS_EQUAL(Success, runCheck({data("good.json")}, false));
}

TEST(Commands, AllFindingsOfAllKeysAreListedWithTheirPlaces) {
  nlohmann::json Document{{"templates/a", {{"service", "s"}}},
                          {"parameters/o/a", {{"rank", 70}}}};
  framework::findings Found = checkDocument("f.json", Document);
  LONGS_EQUAL(5, Found.size());
  STRCMP_EQUAL("f.json: parameters/o/a: /rank", Found[0].Location.c_str());
  STRCMP_EQUAL("f.json: templates/a: /path", Found[1].Location.c_str());
}

TEST(Commands, BadFilesHaveExitCodesOfTheirOwn) {
  LONGS_EQUAL(Unreachable, runCheck({data("missing.json")}, false));
  LONGS_EQUAL(Refused, runCheck({data("bad.json")}, true));
  STRCMP_EQUAL((data("missing.json") + ": cannot be read").c_str(),
               errorOf(data("missing.json")).c_str());
  STRCMP_EQUAL(
      (data("list.json") + ": is not a JSON object of keys and values").c_str(),
      errorOf(data("list.json")).c_str());
}

TEST(Commands, NodeThatDoesNotAnswerIsUnreachable) {
  LONGS_EQUAL(Unreachable, runStatus("127.0.0.1:1", false));
}
