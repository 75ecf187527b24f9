#include "framework/logging.h"
#include "node/daemon.h"

#include <cstdio>
#include <string>
#include <vector>

namespace {

constexpr const char *Version = "figplank_node 0.1.0";

} // namespace

int main(int Count, char **Values) {
  using namespace figplank;
  std::vector<std::string> Arguments(Values + 1, Values + Count);
  const auto &Specs = node::nodeSettingSpecs();
  framework::given_settings Given =
      framework::readSettings(Arguments, "FIGPLANK_", Specs);
  if (Given.Help) {
    std::fputs(framework::formatHelp("figplank_node [settings]", Specs).c_str(),
               stdout);
    return 0;
  }
  if (Given.Version) {
    std::puts(Version);
    return 0;
  }
  for (const std::string &Word : Given.Positional) {
    Given.Findings.push_back({"argument", Word, "is not expected"});
  }
  node::node_settings Settings = node::readNodeSettings(Given);
  if (!Given.Findings.empty()) {
    std::fputs(framework::formatFindings(Given.Findings).c_str(), stderr);
    return framework::BadSettingsExitCode;
  }
  if (Given.Check) {
    std::puts("settings are valid");
    return 0;
  }
  framework::startLogging(Settings.Name, Settings.LogLevel);
  return node::runNode(Settings, {});
}
