#include "framework/settings.h"
#include "standins/platform.h"

#include <csignal>
#include <cstdio>

int main(int Count, char **Values) {
  using namespace figplank;
  const std::vector<framework::setting_spec> Specs{
      {"address", "where to serve, IP:PORT", "127.0.0.1:7000", false}};
  auto Given =
      framework::readSettings({Values + 1, Values + Count}, "PLATFORM_", Specs);
  std::string Address = framework::addressSetting(Given, "address", false);
  if (Given.Help) {
    std::fputs(framework::formatHelp("figplank_platform [settings]",
                                     "PLATFORM_", Specs)
                   .c_str(),
               stdout);
    return 0;
  }
  if (!Given.Findings.empty()) {
    std::fputs(framework::formatFindings(Given.Findings).c_str(), stderr);
    return framework::BadSettingsExitCode;
  }
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  standins::platform Platform(Address);
  int Signal = 0;
  sigwait(&Signals, &Signal);
  return 0;
}
