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

/// How requests are admitted. Independent and None exist as baselines for the
/// benchmarks.
enum class admission_mode : std::uint8_t {
  /// Shares by rank and organisation. Every service applies the same random
  /// draw to a request, so all of them admit the same requests.
  Coordinated,
  /// The same shares, but each node makes its own random draw and the entry
  /// does not know the shares of the services further down.
  Independent,
  /// First come, first served, without limits, shares or retry budgets.
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
  /// Address that accepts requests of templates; empty for none.
  std::string HttpAddress;
  /// Address that accepts requests of routes; empty for none.
  std::string RouteAddress;
  /// Address that the platform probes for readiness; empty for none.
  std::string ReadyAddress;
  /// RPC address by which other nodes know this process; its replacement has
  /// another one.
  std::string RpcAddress;
  /// Address on which the RPC port listens; RpcAddress unless set.
  std::string RpcListenAddress;
  /// Source IP address of connections to other nodes and the platform; empty
  /// for the system's choice.
  std::string SourceIp;
  std::string AdminAddress;
  std::string BackendAddress;
  /// Empty for a node that never reads the platform itself.
  std::string PlatformAddress;
  /// RPC addresses of peers to contact before the list of instances is known.
  std::vector<std::string> Seeds;
  execution::home_settings Home;
  framework::milliseconds Grace{0};
  /// Memory that the process may use, in bytes.
  std::size_t MemoryLimit = 0;
  /// Descriptors that the process may have open.
  std::size_t MaxDescriptors = 0;
  admission_mode Admission = admission_mode::Coordinated;
  framework::log_level LogLevel = framework::log_level::Info;
};

/// Whether the node serves requests of routes.
inline bool servesRoutes(const node_settings &Settings) {
  return !Settings.RouteAddress.empty();
}

const std::vector<framework::setting_spec> &nodeSettingSpecs();

/// Converts and checks the settings. Problems are appended to the findings of
/// \p Given.
node_settings readNodeSettings(framework::raw_settings &Given);

} // namespace figplank::node
