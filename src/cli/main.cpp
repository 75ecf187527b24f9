#include "cli/commands.h"
#include "framework/settings.h"

#include <cstdio>

namespace {

using namespace figplank;

constexpr const char *EnvironmentPrefix = "FIGPLANK_CLI_";
constexpr const char *Usage =
    "figplank COMMAND [settings]\n"
    "  check FILE...           check templates and "
    "parameters before publishing\n"
    "  status ADMIN_ADDRESS    show the status of a node\n"
    "  call HTTP_ADDRESS TEMPLATE\n"
    "                          send one request to a node";

const std::vector<framework::setting_spec> &settingSpecs() {
  static const std::vector<framework::setting_spec> Specs{
      {"json", "print JSON: yes or no", "no", false},
      {"organisation", "organisation that sends the request, for call", "",
       false},
      {"body", "request body, for call", "", false},
      {"key", "Idempotency-Key, a UUIDv7; generated if empty, for call", "",
       false},
      {"deadline-ms", "time for all attempts in milliseconds, for call", "5000",
       false},
      {"attempts", "maximum attempts, the first included, for call", "1",
       false},
  };
  return Specs;
}

int badUsage(const std::string &Problem) {
  std::fprintf(
      stderr, "%s\n\n%s", Problem.c_str(),
      framework::formatHelp(Usage, EnvironmentPrefix, settingSpecs()).c_str());
  return cli::BadUsage;
}

int runCommand(framework::raw_settings &Settings) {
  std::vector<std::string> Positional = Settings.Positional;
  std::string Command = Positional.empty() ? "" : Positional.front();
  bool AsJson = framework::textSetting(Settings, "json") == "yes";
  if (Command == "check" && Positional.size() >= 2) {
    return cli::runCheck({Positional.begin() + 1, Positional.end()}, AsJson);
  }
  if (Command == "status" && Positional.size() == 2) {
    return cli::runStatus(Positional[1], AsJson);
  }
  if (Command == "call" && Positional.size() == 3) {
    cli::call_arguments Arguments;
    Arguments.NodeAddress = Positional[1];
    Arguments.Template = Positional[2];
    Arguments.Organisation = framework::textSetting(Settings, "organisation");
    Arguments.Body = framework::textSetting(Settings, "body");
    Arguments.Key = framework::textSetting(Settings, "key");
    Arguments.DeadlineMs = static_cast<unsigned>(
        framework::integerSetting(Settings, "deadline-ms", 1, 600'000));
    Arguments.MaxAttempts = static_cast<unsigned>(
        framework::integerSetting(Settings, "attempts", 1, 100));
    if (Settings.Findings.empty()) {
      return cli::runCall(Arguments, AsJson);
    }
  }
  return badUsage(Settings.Findings.empty()
                      ? "unknown command or wrong number of arguments"
                      : framework::formatFindings(Settings.Findings));
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  framework::raw_settings Settings =
      framework::readSettings({Arguments + 1, Arguments + ArgumentCount},
                              EnvironmentPrefix, settingSpecs());
  (void)framework::choiceSetting(Settings, "json", {"yes", "no"});
  if (Settings.Help) {
    std::fputs(
        framework::formatHelp(Usage, EnvironmentPrefix, settingSpecs()).c_str(),
        stdout);
    return cli::Success;
  }
  if (Settings.Version) {
    std::puts("figplank 0.1.0");
    return cli::Success;
  }
  if (!Settings.Findings.empty()) {
    return badUsage(framework::formatFindings(Settings.Findings));
  }
  return runCommand(Settings);
}
