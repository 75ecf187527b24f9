#include "framework/findings.h"
#include "framework/logging.h"
#include "framework/outcome.h"
#include "framework/settings.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>

using namespace figplank::framework;

namespace {

const std::vector<setting_spec> Specs{
    {"name", "a name", "", true},
    {"count", "a number", "5", false},
    {"address", "an address", "", false},
};

} // namespace

TEST_GROUP(Settings){void teardown() override{unsetenv("FIGTEST_COUNT");
}
}
;

TEST(Settings, FlagWinsOverTheVariableAndTheVariableOverTheDefault) {
  given_settings Given = readSettings({"--name=x"}, "FIGTEST_", Specs);
  LONGS_EQUAL(5, wholeSetting(Given, "count", 1, 10));
  setenv("FIGTEST_COUNT", "7", 1);
  Given = readSettings({"--name=x"}, "FIGTEST_", Specs);
  LONGS_EQUAL(7, wholeSetting(Given, "count", 1, 10));
  Given = readSettings({"--name", "x", "--count", "8"}, "FIGTEST_", Specs);
  LONGS_EQUAL(8, wholeSetting(Given, "count", 1, 10));
  CHECK(Given.Findings.empty());
}

TEST(Settings, AllFindingsComeInOneReport) {
  setenv("FIGTEST_COUNT", "70", 1);
  given_settings Given =
      readSettings({"--adress=1", "--address=here"}, "FIGTEST_", Specs);
  (void)wholeSetting(Given, "count", 1, 10);
  (void)addressSetting(Given, "address", true);
  STRCMP_EQUAL(
      "--adress: is not a known flag\n"
      "--name: is required; or set FIGTEST_NAME\n"
      "FIGTEST_COUNT: must be a whole number from 1 to 10 (value \"70\")\n"
      "--address: must be IP:PORT with an IP number (value \"here\")\n",
      formatFindings(Given.Findings).c_str());
}

TEST(Settings, Addresses) {
  CHECK_TRUE(isAddress("127.0.0.1:80"));
  CHECK_TRUE(isAddress("[::1]:80"));
  CHECK_FALSE(isAddress("localhost:80"));
  CHECK_FALSE(isAddress("127.0.0.1:0"));
  CHECK_FALSE(isAddress("127.0.0.1:70000"));
  CHECK_FALSE(isAddress("127.0.0.1"));
}

TEST_GROUP(Logging){};

TEST(Logging, OneLineOfPairsWithQuotesWhereNeeded) {
  STRCMP_EQUAL("event=refused reason=overload count=3 text=\"a "
               "\\\"b\\\"=c\\nd\" empty=\"\"",
               formatEvent("refused", {{"reason", "overload"},
                                       {"count", 3},
                                       {"text", "a \"b\"=c\nd"},
                                       {"empty", ""}})
                   .c_str());
}

TEST_GROUP(Reasons){};

TEST(Reasons, RowsStandInTheOrderOfTheEnumerators) {
  for (std::size_t I = 0; I < RefusalTable.size(); ++I) {
    LONGS_EQUAL(I, static_cast<std::size_t>(RefusalTable[I].Reason));
  }
}
