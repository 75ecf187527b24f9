#include "framework/settings.h"
#include "standins/platform.h"

#include <csignal>
#include <cstdio>

int main(int ArgumentCount, char **Arguments) {
  using namespace figplank;
  const std::vector<framework::setting_spec> Specs{
      {"address", "address to listen on, IP:PORT", "127.0.0.1:7000", false}};
  auto Settings = framework::readSettings(
      {Arguments + 1, Arguments + ArgumentCount}, "PLATFORM_", Specs);
  std::string Address = framework::addressSetting(Settings, "address", false);
  if (Settings.Help) {
    std::fputs(framework::formatHelp("figplank_platform [settings]",
                                     "PLATFORM_", Specs)
                   .c_str(),
               stdout);
    return 0;
  }
  if (!Settings.Findings.empty()) {
    std::fputs(framework::formatFindings(Settings.Findings).c_str(), stderr);
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
