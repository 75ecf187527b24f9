/// \file
/// Types of the published configuration: templates, parameters, services,
/// instances and routes.
#pragma once

#include "framework/enumnames.h"
#include "framework/timetypes.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace figplank::configuration {

/// Ranks are priorities from 0, the most urgent, to RankCount - 1.
inline constexpr std::uint8_t RankCount = 8;

/// The default of a setting and the range from which an organisation may choose
/// another value. Both bounds belong to the range.
template <typename Number> struct bounded_setting {
  Number Default{};
  Number Min{};
  Number Max{};

  bool operator==(const bounded_setting &) const = default;
};

/// A class of requests, defined by an operator under `templates/NAME`.
struct work_template {
  std::string Name;
  std::string Service;
  /// URL path of the request to the backend server.
  std::string Path;
  bounded_setting<std::uint8_t> Rank;
  bounded_setting<std::uint32_t> DeadlineMs;
  bool Idempotent = true;
  /// Retries allowed in the whole call tree of one request.
  std::uint8_t ExtraTries = 0;
  /// Fraction of an upstream's capacity that is guaranteed to each rank of the
  /// template under overload.
  double MinimumShare = 0.0;
  std::uint32_t MaxBodyBytes = 0;

  bool operator==(const work_template &) const = default;
};

/// An organisation's settings for a template, published under
/// `parameters/ORGANISATION/TEMPLATE`. The template's defaults apply where a
/// member is empty.
struct work_parameters {
  std::string Organisation;
  std::string Template;
  std::optional<std::uint8_t> Rank;
  std::optional<std::uint32_t> DeadlineMs;
  std::optional<bool> Idempotent;

  bool operator==(const work_parameters &) const = default;
};

/// One upstream in the roster of a service.
struct roster_member {
  std::string Name;
  std::string Zone;
  /// Address of the node's RPC port, `IP:PORT`.
  std::string Address;

  bool operator==(const roster_member &) const = default;
};

/// A service, published under `services/NAME`. The home of each non-idempotent
/// request is chosen from the roster. PreviousRosters lists the rosters that it
/// replaced, the newest first, for as long as homes chosen from them may still
/// run requests.
struct service_settings {
  std::string Name;
  /// Concurrent requests that one backend server can handle.
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

/// One instance as the platform lists it, under `instances/SERVICE/NAME`. The
/// list may be out of date.
struct instance {
  std::string Service;
  std::string Name;
  std::string Zone;
  /// Address of the node's RPC port, `IP:PORT`.
  std::string Address;
  instance_state State = instance_state::Live;
  /// Address of the backend server itself; empty if only its node is published.
  std::string BackendAddress;
  /// Concurrent requests that this backend server can handle; 0 if the value of
  /// the service applies.
  std::uint32_t Slots = 0;
  /// Start time of the backend server in milliseconds since the Unix epoch; 0
  /// if not published. Distinguishes a restarted server from its predecessor of
  /// the same name.
  std::uint64_t StartedMs = 0;
  /// Time after its start during which the backend server responds slowly.
  std::uint32_t WarmUpMs = 0;

  bool operator==(const instance &) const = default;
};

/// One of the services among which a route distributes its requests.
struct route_backend {
  std::string Service;
  std::uint32_t Weight = 1;

  bool operator==(const route_backend &) const = default;
};

/// Where requests for a host and the paths below a prefix are sent, and how
/// they are handled. Unlike a template, a route forwards requests and answers
/// unchanged.
struct route {
  std::string Name;
  /// Host name in lower case and without a port.
  std::string Host;
  /// Path prefix; begins and ends with a slash.
  std::string Prefix;
  bool Idempotent = true;
  /// Maximum attempts for one request, the first included.
  std::uint8_t Attempts = 1;
  /// Maximum time that a caller waits for an answer.
  framework::milliseconds Timeout{0};
  /// Time after arrival within which an answer has full value for the caller.
  framework::milliseconds LatencyObjective{0};
  std::uint8_t Rank = 0;
  std::vector<route_backend> Backends;

  bool operator==(const route &) const = default;
};

/// Limits on the size and timing of requests from callers of routes.
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

/// A template with the parameters of one organisation applied.
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

/// The value of one key of the platform at one revision. An empty value marks
/// the key as deleted.
struct published_entry {
  std::string Key;
  /// See configuration/revision.h.
  std::uint64_t Revision = 0;
  std::string Value;

  bool operator==(const published_entry &) const = default;
};

} // namespace figplank::configuration
