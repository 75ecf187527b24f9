#include "framework/findings.h"
#include "framework/logging.h"
#include "framework/outcome.h"
#include "framework/settings.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>

#include <unistd.h>

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

TEST(Settings, FlagOverridesVariableAndVariableOverridesDefault) {
  raw_settings Settings = readSettings({"--name=x"}, "FIGTEST_", Specs);
  LONGS_EQUAL(5, integerSetting(Settings, "count", 1, 10));
  setenv("FIGTEST_COUNT", "7", 1);
  Settings = readSettings({"--name=x"}, "FIGTEST_", Specs);
  LONGS_EQUAL(7, integerSetting(Settings, "count", 1, 10));
  Settings = readSettings({"--name", "x", "--count", "8"}, "FIGTEST_", Specs);
  LONGS_EQUAL(8, integerSetting(Settings, "count", 1, 10));
  CHECK(Settings.Findings.empty());
}

TEST(Settings, AllFindingsAreReportedTogether) {
  setenv("FIGTEST_COUNT", "70", 1);
  raw_settings Settings =
      readSettings({"--adress=1", "--address=here"}, "FIGTEST_", Specs);
  (void)integerSetting(Settings, "count", 1, 10);
  (void)addressSetting(Settings, "address", true);
  STRCMP_EQUAL(
      "--adress: is not a known flag\n"
      "--name: is required; or set FIGTEST_NAME\n"
      "FIGTEST_COUNT: must be a whole number from 1 to 10 (value \"70\")\n"
      "--address: must be IP:PORT with an IP number (value \"here\")\n",
      formatFindings(Settings.Findings).c_str());
}

TEST(Settings, HelpListsVariableAndDefault) {
  std::string Help = formatHelp("tool", "FIGTEST_", Specs);
  CHECK(Help.find("FIGTEST_COUNT") != std::string::npos);
  CHECK(Help.find("default 5") != std::string::npos);
  CHECK(Help.find("FIGTEST_NAME") != std::string::npos);
}

TEST(Settings, AddressesMustBeNumericWithAValidPort) {
  CHECK_TRUE(isAddress("127.0.0.1:80"));
  CHECK_TRUE(isAddress("[::1]:80"));
  CHECK_FALSE(isAddress("localhost:80"));
  CHECK_FALSE(isAddress("127.0.0.1:0"));
  CHECK_FALSE(isAddress("127.0.0.1:70000"));
  CHECK_FALSE(isAddress("127.0.0.1"));
}

TEST_GROUP(Logging){};

TEST(Logging, FormatsOneLineAndQuotesValuesWhereNeeded) {
  STRCMP_EQUAL("event=refused reason=overload count=3 text=\"a "
               "\\\"b\\\"=c\\nd\" empty=\"\"",
               formatEvent("refused", {{"reason", "overload"},
                                       {"count", 3},
                                       {"text", "a \"b\"=c\nd"},
                                       {"empty", ""}})
                   .c_str());
}

TEST_GROUP(Reasons){};

TEST(Reasons, TableRowsAreInEnumeratorOrder) {
  for (std::size_t I = 0; I < RefusalTable.size(); ++I) {
    LONGS_EQUAL(I, static_cast<std::size_t>(RefusalTable[I].Reason));
  }
}

TEST(Settings, FileProvidesValuesThatFlagsAndVariablesDoNotSet) {
  char Path[] = "/tmp/figplank-file-XXXXXX";
  close(mkstemp(Path));
  std::ofstream(Path)
      << "# comment\nname = from file\ncount = 9\nnew-one = 1\n";
  std::vector<setting_spec> WithFile = Specs;
  WithFile.push_back({SettingsFileFlag, "a file", "", false});
  raw_settings Settings =
      readSettings({"--count=6", std::string("--settings-file=") + Path},
                   "FIGTEST_", WithFile);
  STRCMP_EQUAL("from file", textSetting(Settings, "name").c_str());
  LONGS_EQUAL(6, integerSetting(Settings, "count", 1, 10));
  CHECK(Settings.Findings.empty());
  std::remove(Path);
  Settings = readSettings({"--name=x", "--settings-file=/nowhere/at/all"},
                          "FIGTEST_", WithFile);
  LONGS_EQUAL(1, Settings.Findings.size());
}

TEST_GROUP(Log) {
  int SavedStdout = dup(STDOUT_FILENO);
  int Pipe[2] = {-1, -1};

  void setup() override {
    CHECK(pipe(Pipe) == 0);
    dup2(Pipe[1], STDOUT_FILENO);
  }
  void teardown() override {
    dup2(SavedStdout, STDOUT_FILENO);
    close(SavedStdout);
    close(Pipe[0]);
    close(Pipe[1]);
  }
  std::string readOutput() const {
    std::string Text(std::size_t{1} << 17U, ' ');
    ssize_t BytesRead = read(Pipe[0], Text.data(), Text.size());
    Text.resize(static_cast<std::size_t>(std::max<ssize_t>(0, BytesRead)));
    return Text;
  }
};

TEST(Log, LinesAreDroppedAndCountedWhileNobodyReads) {
  for (int I = 0; I < 5'000; ++I) {
    logEvent(log_level::Warning, "flood", {{"number", I}});
  }
  // The pipe is full; reading from it makes room again.
  (void)readOutput();
  logEvent(log_level::Warning, "after", {});
  CHECK(readOutput().find("dropped_lines=") != std::string::npos);
}

TEST(Log, FrequentEventsAreSuppressedAndCounted) {
  monotonic_time Now{};
  for (int I = 0; I < 1'000; ++I) {
    logFrequentEvent(log_level::Warning, "refused", {{"number", I}}, Now);
  }
  std::string Text = readOutput();
  LONGS_EQUAL(40, std::count(Text.begin(), Text.end(), '\n'));
  logFrequentEvent(log_level::Warning, "refused", {}, Now + milliseconds(100));
  CHECK(readOutput().find("suppressed_lines=960") != std::string::npos);
}
