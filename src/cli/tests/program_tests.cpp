#include "cli/commands.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <cstdio>
#include <string>
#include <sys/wait.h>

using namespace figplank::cli;

namespace {

/// Result of a run of the figplank program.
struct program_run {
  int ExitCode = -1;
  std::string Output;
};

program_run runProgram(const std::string &Arguments) {
  program_run Run;
  std::FILE *Pipe =
      popen((FIGPLANK_CLI_BINARY " " + Arguments + " 2>&1").c_str(), "r");
  std::array<char, 4096> Buffer;
  while (std::size_t Size = std::fread(Buffer.data(), 1, Buffer.size(), Pipe)) {
    Run.Output.append(Buffer.data(), Size);
  }
  int Status = pclose(Pipe);
  Run.ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
  return Run;
}

std::string dataPath(const char *Name) {
  return std::string(FIGPLANK_TEST_DATA) + "/" + Name;
}

} // namespace

/// The figplank program with its command line.
TEST_GROUP(Program){};

TEST(Program, CheckTakesSeveralFiles) {
  program_run Run = runProgram("check " + dataPath("good.json") + " " +
                               dataPath("good.json"));
  LONGS_EQUAL(Success, Run.ExitCode);
  STRCMP_CONTAINS("2 files, 0 findings", Run.Output.c_str());
  LONGS_EQUAL(Refused, runProgram("check " + dataPath("bad.json")).ExitCode);
}

TEST(Program, SettingsMayStandBesideArguments) {
  program_run Run = runProgram("check --json=yes " + dataPath("good.json"));
  LONGS_EQUAL(Success, Run.ExitCode);
  STRCMP_EQUAL("[]\n", Run.Output.c_str());
}

TEST(Program, StatusAndCallReportAnUnreachableNode) {
  LONGS_EQUAL(Unreachable, runProgram("status 127.0.0.1:1").ExitCode);
  program_run Run = runProgram("call --deadline-ms=200 127.0.0.1:1 price");
  CHECK(Run.ExitCode == OutcomeUnknown || Run.ExitCode == Refused);
}

TEST(Program, WrongUseIsReported) {
  for (const char *Arguments : {"", "check", "status", "call 127.0.0.1:1",
                                "unknown", "check --unknown=1 file"}) {
    LONGS_EQUAL(BadUsage, runProgram(Arguments).ExitCode);
  }
}
