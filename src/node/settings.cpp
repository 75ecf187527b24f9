#include "node/settings.h"

#include <algorithm>
#include <sys/resource.h>

namespace figplank::node {
namespace {

using framework::milliseconds;
using framework::setting_spec;

constexpr std::int64_t MaxClockBoundMs = 60'000;
constexpr std::int64_t MaxRetentionMs = 3'600'000;
constexpr std::int64_t MaxGraceMs = 600'000;
constexpr std::int64_t MinMemoryMb = 32;
constexpr std::int64_t MaxMemoryMb = 1'000'000;
constexpr std::int64_t MaxDescriptorSetting = 10'000'000;

/// The lower one of \p Configured, if it isn't 0, and the limit of the process.
std::size_t descriptorLimit(std::size_t Configured) {
  rlimit Own{};
  getrlimit(RLIMIT_NOFILE, &Own);
  std::size_t Limit = Own.rlim_cur;
  return Configured == 0 ? Limit : std::min(Configured, Limit);
}

template <typename Enum, std::size_t Size>
std::vector<std::string>
namesIn(const std::array<framework::enum_name<Enum>, Size> &Table) {
  std::vector<std::string> Names;
  Names.reserve(Size);
  for (const framework::enum_name<Enum> &Row : Table) {
    Names.emplace_back(Row.Name);
  }
  return Names;
}

template <typename Enum, std::size_t Size>
Enum enumSetting(framework::raw_settings &Given, std::string_view Name,
                 const std::array<framework::enum_name<Enum>, Size> &Table) {
  std::string Text = framework::choiceSetting(Given, Name, namesIn(Table));
  return framework::valueOf(Table, Text).value_or(Table.front().Value);
}

} // namespace

const std::vector<setting_spec> &nodeSettingSpecs() {
  static const std::vector<setting_spec> Specs{
      {"name", "name of this upstream in the roster", "", true},
      {"service", "service of the backend server beside this node", "", true},
      {"zone", "availability zone", "", true},
      {"http-address", "address that accepts requests of templates, IP:PORT",
       "", false},
      {"route-address", "address that accepts requests of routes, IP:PORT", "",
       false},
      {"ready-address",
       "address that the platform probes for readiness, IP:PORT", "", false},
      {framework::SettingsFileFlag,
       "file with one setting per line, name = value", "", false},
      {"rpc-address",
       "address that other nodes connect to, IP:PORT, as in the roster", "",
       true},
      {"rpc-listen-address",
       "address on which the RPC port listens, if not --rpc-address", "",
       false},
      {"source-ip",
       "source IPv4 address of connections to nodes and the platform", "",
       false},
      {"admin-address", "address that serves /metrics and /status, IP:PORT", "",
       true},
      {"backend-address", "address of the backend server, IP:PORT", "", true},
      {"platform-address",
       "address of the platform's configuration service, IP:PORT", "", false},
      {"seeds", "RPC addresses of initial peers, comma-separated", "", false},
      {"clock-bound-ms",
       "maximum difference between the clocks of two machines", "2000", false},
      {"retention-ms", "age at which every node refuses a request id", "120000",
       false},
      {"max-runs", "maximum number of stored ids that ran", "30000", false},
      {"max-fences", "maximum number of stored ids that were refused", "100000",
       false},
      {"grace-ms", "maximum time that a draining node waits for its requests",
       "30000", false},
      {"memory-limit-mb", "memory that the process may use, in MiB", "160",
       false},
      {"max-descriptors",
       "descriptors that the process may have open; 0 for the limit that it "
       "has",
       "0", false},
      {"admission", "coordinated, or a benchmark baseline: independent, none",
       "coordinated", false},
      {"log-level", "debug, info, warning or error", "info", false},
  };
  return Specs;
}

node_settings readNodeSettings(framework::raw_settings &Given) {
  node_settings Settings;
  Settings.Name = framework::textSetting(Given, "name");
  Settings.Service = framework::textSetting(Given, "service");
  Settings.Zone = framework::textSetting(Given, "zone");
  Settings.HttpAddress = framework::addressSetting(Given, "http-address", true);
  Settings.RouteAddress =
      framework::addressSetting(Given, "route-address", true);
  Settings.ReadyAddress =
      framework::addressSetting(Given, "ready-address", true);
  Settings.RpcAddress = framework::addressSetting(Given, "rpc-address", false);
  Settings.RpcListenAddress =
      framework::addressSetting(Given, "rpc-listen-address", true);
  if (Settings.RpcListenAddress.empty()) {
    Settings.RpcListenAddress = Settings.RpcAddress;
  }
  Settings.SourceIp = framework::ipSetting(Given, "source-ip");
  Settings.AdminAddress =
      framework::addressSetting(Given, "admin-address", false);
  Settings.BackendAddress =
      framework::addressSetting(Given, "backend-address", false);
  Settings.PlatformAddress =
      framework::addressSetting(Given, "platform-address", true);
  Settings.Seeds = framework::addressListSetting(Given, "seeds");
  Settings.Home.ClockBound = milliseconds(
      framework::integerSetting(Given, "clock-bound-ms", 1, MaxClockBoundMs));
  Settings.Home.Retention = milliseconds(
      framework::integerSetting(Given, "retention-ms", 1'000, MaxRetentionMs));
  Settings.Home.MaxRuns = static_cast<std::size_t>(
      framework::integerSetting(Given, "max-runs", 1, 10'000'000));
  Settings.Home.MaxFences = static_cast<std::size_t>(
      framework::integerSetting(Given, "max-fences", 1, 10'000'000));
  Settings.Grace =
      milliseconds(framework::integerSetting(Given, "grace-ms", 0, MaxGraceMs));
  Settings.MemoryLimit =
      static_cast<std::size_t>(framework::integerSetting(
          Given, "memory-limit-mb", MinMemoryMb, MaxMemoryMb))
      << 20U;
  Settings.MaxDescriptors =
      descriptorLimit(static_cast<std::size_t>(framework::integerSetting(
          Given, "max-descriptors", 0, MaxDescriptorSetting)));
  Settings.Admission = enumSetting(Given, "admission", AdmissionModeNames);
  Settings.LogLevel = enumSetting(Given, "log-level", LogLevelNames);
  if (Settings.HttpAddress.empty() && Settings.RouteAddress.empty()) {
    Given.Findings.push_back(
        {"--http-address", "", "or --route-address is required"});
  }
  if (Settings.Home.Retention <= 2 * Settings.Home.ClockBound) {
    Given.Findings.push_back({"--retention-ms",
                              framework::textSetting(Given, "retention-ms"),
                              "must be more than twice --clock-bound-ms"});
  }
  return Settings;
}

} // namespace figplank::node
