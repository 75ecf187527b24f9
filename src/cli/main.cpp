#include "cli/commands.h"
#include "framework/settings.h"

#include <cstdio>

namespace {

using namespace figplank;

constexpr const char *Prefix = "FIGPLANK_CLI_";
constexpr const char *Usage = "figplank COMMAND [settings]\n"
                              "  check FILE...           check templates and "
                              "parameters before publishing\n"
                              "  status ADMIN_ADDRESS    show a node's view\n"
                              "  call ENTRY TEMPLATE     send one request";

const std::vector<framework::setting_spec> &settingSpecs() {
  static const std::vector<framework::setting_spec> Specs{
      {"json", "print JSON: yes or no", "no", false},
      {"organisation", "member app or shop, for call", "", false},
      {"body", "body of the request, for call", "", false},
      {"key", "Idempotency-Key, a UUIDv7, for call", "", false},
      {"deadline-ms", "time for the whole call", "5000", false},
      {"attempts", "tries, the first included, for call", "1", false},
  };
  return Specs;
}

int badUsage(const std::string &Problem) {
  std::fprintf(stderr, "%s\n\n%s", Problem.c_str(),
               framework::formatHelp(Usage, Prefix, settingSpecs()).c_str());
  return cli::BadUsage;
}

int runCommand(framework::raw_settings &Given) {
  std::vector<std::string> Words = Given.Positional;
  std::string Command = Words.empty() ? "" : Words.front();
  bool AsJson = framework::textSetting(Given, "json") == "yes";
  if (Command == "check" && Words.size() >= 2) {
    return cli::runCheck({Words.begin() + 1, Words.end()}, AsJson);
  }
  if (Command == "status" && Words.size() == 2) {
    return cli::runStatus(Words[1], AsJson);
  }
  if (Command == "call" && Words.size() == 3) {
    cli::call_arguments Arguments;
    Arguments.Entry = Words[1];
    Arguments.Template = Words[2];
    Arguments.Organisation = framework::textSetting(Given, "organisation");
    Arguments.Body = framework::textSetting(Given, "body");
    Arguments.Key = framework::textSetting(Given, "key");
    Arguments.DeadlineMs = static_cast<unsigned>(
        framework::integerSetting(Given, "deadline-ms", 1, 600'000));
    Arguments.MaxAttempts = static_cast<unsigned>(
        framework::integerSetting(Given, "attempts", 1, 100));
    if (Given.Findings.empty()) {
      return cli::runCall(Arguments, AsJson);
    }
  }
  return badUsage(Given.Findings.empty()
                      ? "unknown command or wrong number of arguments"
                      : framework::formatFindings(Given.Findings));
}

} // namespace

int main(int Count, char **Values) {
  framework::raw_settings Given = framework::readSettings(
      {Values + 1, Values + Count}, Prefix, settingSpecs());
  (void)framework::choiceSetting(Given, "json", {"yes", "no"});
  if (Given.Help) {
    std::fputs(framework::formatHelp(Usage, Prefix, settingSpecs()).c_str(),
               stdout);
    return cli::Success;
  }
  if (Given.Version) {
    std::puts("figplank 0.1.0");
    return cli::Success;
  }
  if (!Given.Findings.empty()) {
    return badUsage(framework::formatFindings(Given.Findings));
  }
  return runCommand(Given);
}
