/// \file
/// Types of the published configuration: templates, parameters, services and
/// the list of instances.
#pragma once

#include "framework/enumnames.h"
#include "framework/timetypes.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace figplank::configuration {

/// Ranks run from 0, the most urgent, to RankCount - 1.
inline constexpr std::uint8_t RankCount = 8;

/// A closed range with the value that applies where an organisation sets none.
template <typename Number> struct bounded_choice {
  Number Default{};
  Number Least{};
  Number Most{};

  bool operator==(const bounded_choice &) const = default;
};

/// A class of work, written by an operator under `templates/NAME`.
struct work_template {
  std::string Name;
  std::string Service;
  /// Path of the request to the backend server.
  std::string Path;
  bounded_choice<std::uint8_t> Rank;
  bounded_choice<std::uint32_t> DeadlineMs;
  bool Idempotent = true;
  /// Tries beyond the first that the whole tree of calls may spend.
  std::uint8_t ExtraTries = 0;
  /// Share of an upstream's capacity that the rank keeps under overload.
  double MinimumShare = 0.0;
  std::uint32_t MaxBodyBytes = 0;

  bool operator==(const work_template &) const = default;
};

/// An organisation's choices, under `parameters/ORGANISATION/TEMPLATE`.
struct work_parameters {
  std::string Organisation;
  std::string Template;
  std::optional<std::uint8_t> Rank;
  std::optional<std::uint32_t> DeadlineMs;
  std::optional<bool> Idempotent;

  bool operator==(const work_parameters &) const = default;
};

/// One upstream of a roster.
struct roster_member {
  std::string Name;
  std::string Zone;
  /// Address of the node's RPC port, `IP:PORT`.
  std::string Address;

  bool operator==(const roster_member &) const = default;
};

/// A service, under `services/NAME`. The roster decides the home of each
/// non-idempotent request; PreviousRosters names the rosters that it replaces,
/// the newest first, for as long as their homes may still run work.
struct service_settings {
  std::string Name;
  /// Concurrent requests that one backend server takes.
  std::uint32_t Slots = 0;
  std::vector<roster_member> Roster;
  std::vector<std::vector<roster_member>> PreviousRosters;

  bool operator==(const service_settings &) const = default;
};

enum class instance_state : std::uint8_t { Live, Leaving };

inline constexpr std::array<framework::enum_name<instance_state>, 2>
    InstanceStateNames{{
        {instance_state::Live, "live"},
        {instance_state::Leaving, "leaving"},
    }};

/// One row of the platform's lagging list, under `instances/SERVICE/NAME`.
struct instance {
  std::string Service;
  std::string Name;
  std::string Zone;
  /// Of the node's RPC port.
  std::string Address;
  instance_state State = instance_state::Live;
  /// Of the backend server itself; empty where only its node is published.
  std::string BackendAddress;
  /// Concurrent requests that this backend server takes; 0 where the service
  /// says it.
  std::uint32_t Slots = 0;
  /// When the backend server started, in milliseconds since the Unix epoch; 0
  /// where it isn't published. Tells a restart under the same name.
  std::uint64_t StartedMs = 0;
  /// Time after its start for which the backend server is slow.
  std::uint32_t ColdMs = 0;

  bool operator==(const instance &) const = default;
};

/// One of the services that a route divides its requests among.
struct route_backend {
  std::string Service;
  std::uint32_t Weight = 1;

  bool operator==(const route_backend &) const = default;
};

/// Where requests for a host and the paths below a prefix go, and how they are
/// treated. Unlike a template, a route passes requests and answers unchanged.
struct route {
  std::string Name;
  /// In lower case and without a port.
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  bool Idempotent = true;
  /// Upstreams that one request may be sent to.
  std::uint8_t Attempts = 1;
  /// Longest time that a caller is kept waiting.
  framework::milliseconds Timeout{0};
  /// Time within which an answer is worth most to the caller.
  framework::milliseconds LatencyObjective{0};
  std::uint8_t Rank = 0;
  std::vector<route_backend> Backends;

  bool operator==(const route &) const = default;
};

/// Bounds of what callers of routes may send.
struct caller_limits {
  std::uint32_t MaxHeaderBytes = 16U << 10U;
  std::uint32_t MaxBodyBytes = 64U << 20U;
  framework::milliseconds HeaderTimeout{3'000};
  framework::milliseconds IdleTimeout{15'000};

  bool operator==(const caller_limits &) const = default;
};

/// All routes, published as one value under `routing/current`.
struct route_table {
  std::uint64_t Version = 0;
  std::vector<route> Routes;
  caller_limits Limits;

  bool operator==(const route_table &) const = default;
};

/// A template as one organisation uses it.
struct resolved_template {
  std::string Template;
  std::string Service;
  std::string Path;
  std::uint8_t Rank = 0;
  framework::milliseconds Deadline{0};
  bool Idempotent = true;
  std::uint8_t ExtraTries = 0;
  std::uint32_t MaxBodyBytes = 0;
};

/// One key of the platform at one revision. An empty value is a deletion.
struct published_entry {
  std::string Key;
  std::uint64_t Revision = 0;
  std::string Value;

  bool operator==(const published_entry &) const = default;
};

} // namespace figplank::configuration
