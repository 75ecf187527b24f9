/// \file
/// Settings of figplank_node.
#pragma once

#include "execution/home.h"
#include "framework/enumnames.h"
#include "framework/logging.h"
#include "framework/settings.h"

#include <string>
#include <vector>

namespace figplank::node {

/// How requests are admitted. All but Coordinated are baselines of the
/// benchmarks.
enum class admission_mode : std::uint8_t {
  /// Shares by rank and organisation, the same requests at every service.
  Coordinated,
  /// The same shares, but each node draws anew and the entry knows nothing.
  Independent,
  /// First come, first served, without limits, shares or budgets.
  None,
};

inline constexpr std::array<framework::enum_name<admission_mode>, 3>
    AdmissionModeNames{{
        {admission_mode::Coordinated, "coordinated"},
        {admission_mode::Independent, "independent"},
        {admission_mode::None, "none"},
    }};

inline constexpr std::array<framework::enum_name<framework::log_level>, 4>
    LogLevelNames{{
        {framework::log_level::Debug, "debug"},
        {framework::log_level::Info, "info"},
        {framework::log_level::Warning, "warning"},
        {framework::log_level::Error, "error"},
    }};

struct node_settings {
  std::string Name;
  std::string Service;
  std::string Zone;
  /// Where requests of templates arrive; empty for none.
  std::string HttpAddress;
  /// Where requests of routes arrive; empty for none.
  std::string RouteAddress;
  /// Where the platform asks whether this node takes requests; empty for none.
  std::string ReadyAddress;
  /// As other nodes know it; tells this process from its replacement.
  std::string RpcAddress;
  /// Where the RPC port listens, if not at RpcAddress.
  std::string RpcListenAddress;
  /// IP number that connections to other nodes and the platform leave from;
  /// empty for the system's choice.
  std::string SourceIp;
  std::string AdminAddress;
  std::string BackendAddress;
  /// Empty for a node that never reads the platform itself.
  std::string PlatformAddress;
  /// Peers to ask before the list of instances is known.
  std::vector<std::string> Seeds;
  execution::home_settings Home;
  framework::milliseconds Grace{0};
  admission_mode Admission = admission_mode::Coordinated;
  framework::log_level LogLevel = framework::log_level::Info;
};

/// Whether the node serves requests of routes.
inline bool servesRoutes(const node_settings &Settings) {
  return !Settings.RouteAddress.empty();
}

const std::vector<framework::setting_spec> &nodeSettingSpecs();

/// Converts the settings; problems are added to the findings in \p Given.
node_settings readNodeSettings(framework::raw_settings &Given);

} // namespace figplank::node
