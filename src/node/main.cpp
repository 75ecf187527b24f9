#include "framework/heaptrimmer.h"
#include "framework/logging.h"
#include "node/daemon.h"

#include <string>
#include <vector>

int main(int Count, char **Values) {
  using namespace figplank;
  framework::returnLongBlocks();
  std::vector<std::string> Arguments(Values + 1, Values + Count);
  const auto &Specs = node::nodeSettingSpecs();
  framework::raw_settings Given =
      framework::readSettings(Arguments, "FIGPLANK_", Specs);
  for (const std::string &Word : Given.Positional) {
    Given.Findings.push_back({"argument", Word, "is not expected"});
  }
  node::node_settings Settings = node::readNodeSettings(Given);
  auto ExitCode =
      framework::earlyExitCode(Given, "figplank_node", "FIGPLANK_", Specs);
  if (ExitCode) {
    return *ExitCode;
  }
  framework::startLogging(Settings.Name, Settings.LogLevel);
  return node::runNode(Settings, {});
}
