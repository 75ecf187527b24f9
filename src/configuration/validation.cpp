#include "configuration/validation.h"

#include "configuration/jsonreader.h"
#include "framework/settings.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace figplank::configuration {
namespace {

using nlohmann::json;

constexpr std::size_t MaxNameLength = 100;
constexpr std::size_t MaxPathLength = 500;
constexpr std::uint32_t MaxDeadlineMs = 600'000;
constexpr std::uint32_t MaxExtraTries = 10;
constexpr std::size_t MaxPreviousRosters = 8;
constexpr std::uint32_t MaxSlots = 100'000;
constexpr std::uint32_t MaxTemplateBodyBytes = 8U << 20U;
constexpr double MaxUnixMs = 1e15;
constexpr std::uint32_t MaxTimeoutMs = 3'600'000;
constexpr std::uint32_t MaxAttempts = 10;
constexpr std::uint32_t MaxWeight = 1'000'000;
constexpr std::uint32_t MaxRouteBodyBytes = 1U << 30U;
constexpr double MaxVersion = 1e15;
constexpr double MaxMinimumShare = 0.5;
constexpr double DefaultMinimumShare = 0.05;
constexpr std::uint32_t DefaultMaxBodyBytes = 1U << 20U;

/// Splits a key such as `a/b/c` at its slashes.
std::vector<std::string> splitKey(std::string_view Key) {
  std::vector<std::string> Parts;
  std::size_t Start = 0;
  while (true) {
    std::size_t Slash = Key.find('/', Start);
    Parts.emplace_back(Key.substr(Start, Slash - Start));
    if (Slash == std::string_view::npos) {
      return Parts;
    }
    Start = Slash + 1;
  }
}

bool isValidName(std::string_view Name) {
  if (Name.empty() || Name.size() > MaxNameLength) {
    return false;
  }
  for (char C : Name) {
    bool Allowed = (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
                   (C >= '0' && C <= '9') || C == '-' || C == '_' || C == '.';
    if (!Allowed) {
      return false;
    }
  }
  return true;
}

template <typename Number>
bounded_setting<Number> readBoundedSetting(json_reader &Parent,
                                           std::string_view Name,
                                           std::uint32_t Max) {
  bounded_setting<Number> Setting;
  auto Found = Parent.Object.find(std::string(Name));
  if (Found == Parent.Object.end()) {
    addFinding(Parent, Name, "is missing");
    return Setting;
  }
  json_reader Reader{*Found, Parent.Location + "/" + std::string(Name),
                     Parent.Findings};
  if (!requireObject(Reader)) {
    return Setting;
  }
  reportUnknownMembers(Reader, {"default", "least", "most"});
  auto Default = readUnsigned(Reader, "default", 0, Max, true);
  Setting.Default = static_cast<Number>(Default.value_or(0));
  Setting.Min = static_cast<Number>(
      readUnsigned(Reader, "least", 0, Max, false).value_or(Setting.Default));
  Setting.Max = static_cast<Number>(
      readUnsigned(Reader, "most", 0, Max, false).value_or(Setting.Default));
  if (Default &&
      (Setting.Default < Setting.Min || Setting.Default > Setting.Max)) {
    addFinding(Reader, "default", "must be between least and most");
  }
  return Setting;
}

parsed_value readTemplate(json_reader &Reader, const std::string &Name) {
  reportUnknownMembers(Reader,
                       {"service", "path", "rank", "deadline_ms", "idempotent",
                        "extra_tries", "minimum_share", "max_body_bytes"});
  work_template Template;
  Template.Name = Name;
  Template.Service =
      readString(Reader, "service", MaxNameLength, true).value_or("");
  Template.Path = readString(Reader, "path", MaxPathLength, true).value_or("/");
  if (Template.Path.front() != '/') {
    addFinding(Reader, "path", "must begin with /");
  }
  Template.Rank =
      readBoundedSetting<std::uint8_t>(Reader, "rank", RankCount - 1);
  Template.DeadlineMs =
      readBoundedSetting<std::uint32_t>(Reader, "deadline_ms", MaxDeadlineMs);
  Template.Idempotent = readBoolean(Reader, "idempotent", true).value_or(false);
  Template.ExtraTries = static_cast<std::uint8_t>(
      readUnsigned(Reader, "extra_tries", 0, MaxExtraTries, false).value_or(2));
  Template.MinimumShare =
      readNumber(Reader, "minimum_share", 0.0, MaxMinimumShare, false)
          .value_or(DefaultMinimumShare);
  Template.MaxBodyBytes =
      readUnsigned(Reader, "max_body_bytes", 1, MaxTemplateBodyBytes, false)
          .value_or(DefaultMaxBodyBytes);
  return Template;
}

parsed_value readParameters(json_reader &Reader,
                            const std::string &Organisation,
                            const std::string &Template) {
  reportUnknownMembers(Reader, {"rank", "deadline_ms", "idempotent"});
  work_parameters Parameters;
  Parameters.Organisation = Organisation;
  Parameters.Template = Template;
  auto Rank = readUnsigned(Reader, "rank", 0, RankCount - 1, false);
  if (Rank) {
    Parameters.Rank = static_cast<std::uint8_t>(*Rank);
  }
  Parameters.DeadlineMs =
      readUnsigned(Reader, "deadline_ms", 1, MaxDeadlineMs, false);
  Parameters.Idempotent = readBoolean(Reader, "idempotent", false);
  return Parameters;
}

std::optional<std::string> readAddress(json_reader &Reader) {
  auto Address = readString(Reader, "address", MaxNameLength, true);
  if (Address && !framework::isAddress(*Address)) {
    addFinding(Reader, "address", "must be IP:PORT with an IP number");
  }
  return Address;
}

std::vector<roster_member> readRosterMembers(const json &Members,
                                             const std::string &Location,
                                             framework::findings &Findings) {
  std::vector<roster_member> Roster;
  std::set<std::string> Names;
  for (std::size_t I = 0; I < Members.size(); ++I) {
    json_reader Reader{Members[I], Location + "/" + std::to_string(I),
                       Findings};
    if (!requireObject(Reader)) {
      continue;
    }
    reportUnknownMembers(Reader, {"name", "zone", "address"});
    roster_member Member;
    Member.Name = readString(Reader, "name", MaxNameLength, true).value_or("");
    Member.Zone = readString(Reader, "zone", MaxNameLength, true).value_or("");
    Member.Address = readAddress(Reader).value_or("");
    if (!Names.insert(Member.Name).second) {
      addFinding(Reader, "name", "appears more than once in the roster");
    }
    Roster.push_back(std::move(Member));
  }
  return Roster;
}

std::vector<roster_member> readRoster(json_reader &Parent) {
  auto Found = Parent.Object.find("roster");
  if (Found == Parent.Object.end() || !Found->is_array() || Found->empty()) {
    addFinding(Parent, "roster", "must be a list of one or more upstreams");
    return {};
  }
  return readRosterMembers(*Found, Parent.Location + "/roster",
                           Parent.Findings);
}

/// Reads `"previous": [ROSTER, ...]`, where the newest roster is first.
std::vector<std::vector<roster_member>>
readPreviousRosters(json_reader &Parent) {
  std::vector<std::vector<roster_member>> Rosters;
  auto Found = Parent.Object.find("previous");
  if (Found == Parent.Object.end()) {
    return Rosters;
  }
  if (!Found->is_array() || Found->size() > MaxPreviousRosters) {
    addFinding(Parent, "previous", "must be a list of at most 8 rosters");
    return Rosters;
  }
  for (std::size_t I = 0; I < Found->size(); ++I) {
    std::string Location = Parent.Location + "/previous/" + std::to_string(I);
    if (!(*Found)[I].is_array()) {
      Parent.Findings.push_back(
          {Location, "", "must be a roster, a list of upstreams"});
      continue;
    }
    Rosters.push_back(
        readRosterMembers((*Found)[I], Location, Parent.Findings));
  }
  return Rosters;
}

parsed_value readService(json_reader &Reader, const std::string &Name) {
  reportUnknownMembers(Reader, {"slots", "roster", "previous"});
  service_settings Service;
  Service.Name = Name;
  Service.Slots = readUnsigned(Reader, "slots", 1, MaxSlots, true).value_or(1);
  Service.Roster = readRoster(Reader);
  Service.PreviousRosters = readPreviousRosters(Reader);
  return Service;
}

parsed_value readInstance(json_reader &Reader, const std::string &Service,
                          const std::string &Name) {
  reportUnknownMembers(Reader, {"zone", "address", "state", "backend_address",
                                "slots", "born_ms", "cold_ms"});
  instance Instance;
  Instance.Service = Service;
  Instance.Name = Name;
  Instance.Zone = readString(Reader, "zone", MaxNameLength, true).value_or("");
  Instance.Address = readAddress(Reader).value_or("");
  auto State = readString(Reader, "state", MaxNameLength, true);
  auto ParsedState =
      framework::valueOf(InstanceStateNames, State.value_or("live"));
  if (!ParsedState) {
    addFinding(Reader, "state", "must be live or leaving");
  }
  Instance.State = ParsedState.value_or(instance_state::Live);
  Instance.BackendAddress =
      readString(Reader, "backend_address", MaxNameLength, false).value_or("");
  Instance.Slots =
      readUnsigned(Reader, "slots", 1, MaxSlots, false).value_or(0);
  Instance.WarmUpMs =
      readUnsigned(Reader, "cold_ms", 0, MaxWarmUpMs, false).value_or(0);
  auto StartedMs = readNumber(Reader, "born_ms", 0.0, MaxUnixMs, false);
  Instance.StartedMs = static_cast<std::uint64_t>(StartedMs.value_or(0.0));
  return Instance;
}

std::vector<route_backend> readRouteBackends(json_reader &Parent) {
  std::vector<route_backend> Backends;
  auto Found = Parent.Object.find("backends");
  if (Found == Parent.Object.end() || !Found->is_array() || Found->empty()) {
    addFinding(Parent, "backends", "must be a list of one or more services");
    return Backends;
  }
  std::uint64_t TotalWeight = 0;
  for (std::size_t I = 0; I < Found->size(); ++I) {
    json_reader Reader{(*Found)[I],
                       Parent.Location + "/backends/" + std::to_string(I),
                       Parent.Findings};
    if (!requireObject(Reader)) {
      continue;
    }
    reportUnknownMembers(Reader, {"service", "weight"});
    route_backend Backend;
    Backend.Service =
        readString(Reader, "service", MaxNameLength, true).value_or("");
    Backend.Weight =
        readUnsigned(Reader, "weight", 0, MaxWeight, true).value_or(0);
    TotalWeight += Backend.Weight;
    Backends.push_back(std::move(Backend));
  }
  if (TotalWeight == 0) {
    addFinding(Parent, "backends", "must have at least one weight above 0");
  }
  return Backends;
}

route readRoute(json_reader &Reader) {
  reportUnknownMembers(Reader,
                       {"name", "host", "prefix", "idempotent", "attempts",
                        "timeout_ms", "objective_ms", "rank", "backends"});
  route Route;
  Route.Name = readString(Reader, "name", MaxNameLength, true).value_or("");
  Route.Host = normalizeHost(
      readString(Reader, "host", MaxPathLength, true).value_or(""));
  Route.Prefix =
      readString(Reader, "prefix", MaxPathLength, true).value_or("/");
  if (Route.Prefix.front() != '/' || Route.Prefix.back() != '/') {
    addFinding(Reader, "prefix", "must begin and end with /");
  }
  Route.Idempotent = readBoolean(Reader, "idempotent", true).value_or(false);
  Route.Attempts = static_cast<std::uint8_t>(
      readUnsigned(Reader, "attempts", 1, MaxAttempts, true).value_or(1));
  Route.Timeout = framework::milliseconds(
      readUnsigned(Reader, "timeout_ms", 1, MaxTimeoutMs, true).value_or(1));
  Route.LatencyObjective = framework::milliseconds(
      readUnsigned(Reader, "objective_ms", 1, MaxTimeoutMs, true).value_or(1));
  Route.Rank = static_cast<std::uint8_t>(
      readUnsigned(Reader, "rank", 0, RankCount - 1, true).value_or(0));
  Route.Backends = readRouteBackends(Reader);
  return Route;
}

std::vector<route> readRoutes(json_reader &Parent) {
  std::vector<route> Routes;
  auto Found = Parent.Object.find("routes");
  if (Found == Parent.Object.end() || !Found->is_array()) {
    addFinding(Parent, "routes", "must be a list of routes");
    return Routes;
  }
  std::set<std::pair<std::string, std::string>> HostsAndPrefixes;
  for (std::size_t I = 0; I < Found->size(); ++I) {
    json_reader Reader{(*Found)[I],
                       Parent.Location + "/routes/" + std::to_string(I),
                       Parent.Findings};
    if (!requireObject(Reader)) {
      continue;
    }
    route Route = readRoute(Reader);
    if (!HostsAndPrefixes.emplace(Route.Host, Route.Prefix).second) {
      addFinding(Reader, "prefix",
                 "is already used by another route of the same host");
    }
    Routes.push_back(std::move(Route));
  }
  return Routes;
}

caller_limits readCallerLimits(json_reader &Parent) {
  caller_limits Limits;
  auto Found = Parent.Object.find("limits");
  if (Found == Parent.Object.end()) {
    return Limits;
  }
  json_reader Reader{*Found, Parent.Location + "/limits", Parent.Findings};
  if (!requireObject(Reader)) {
    return Limits;
  }
  reportUnknownMembers(Reader, {"max_header_bytes", "max_body_bytes",
                                "header_timeout_ms", "idle_timeout_ms"});
  auto ReadLimit = [&](std::string_view Name, std::uint32_t Max,
                       std::uint32_t Default) {
    return readUnsigned(Reader, Name, 1, Max, false).value_or(Default);
  };
  auto ToMilliseconds = [](framework::milliseconds Time) {
    return static_cast<std::uint32_t>(Time.count());
  };
  Limits.MaxHeaderBytes = ReadLimit("max_header_bytes", MaxTemplateBodyBytes,
                                    Limits.MaxHeaderBytes);
  Limits.MaxBodyBytes =
      ReadLimit("max_body_bytes", MaxRouteBodyBytes, Limits.MaxBodyBytes);
  Limits.HeaderTimeout = framework::milliseconds(ReadLimit(
      "header_timeout_ms", MaxTimeoutMs, ToMilliseconds(Limits.HeaderTimeout)));
  Limits.IdleTimeout = framework::milliseconds(ReadLimit(
      "idle_timeout_ms", MaxTimeoutMs, ToMilliseconds(Limits.IdleTimeout)));
  return Limits;
}

parsed_value readRouteTable(json_reader &Reader) {
  reportUnknownMembers(Reader, {"version", "routes", "limits"});
  route_table Table;
  auto Version = readNumber(Reader, "version", 0.0, MaxVersion, true);
  Table.Version = static_cast<std::uint64_t>(Version.value_or(0.0));
  Table.Routes = readRoutes(Reader);
  Table.Limits = readCallerLimits(Reader);
  return Table;
}

bool areValidNames(const std::vector<std::string> &Parts) {
  for (const std::string &Part : Parts) {
    if (!isValidName(Part)) {
      return false;
    }
  }
  return true;
}

} // namespace

std::string normalizeHost(std::string_view Host) {
  std::string Name(Host.substr(0, Host.rfind(':')));
  std::transform(Name.begin(), Name.end(), Name.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Name;
}

validation_result validateValue(std::string_view Key, std::string_view Value) {
  validation_result Result;
  std::string Location(Key);
  std::vector<std::string> Parts = splitKey(Key);
  if (!areValidNames(Parts)) {
    Result.Findings.push_back(
        {Location, "",
         "each part of the key must be 1 to 100 letters, digits, '-', '_' or "
         "'.'"});
    return Result;
  }
  if (Value.size() > MaxValueBytes) {
    Result.Findings.push_back({Location, "", "the value is longer than 2 MiB"});
    return Result;
  }
  json Document = parseJson(Value);
  if (Document.is_discarded()) {
    Result.Findings.push_back(
        {Location, std::string(Value.substr(0, 80)), "is not valid JSON"});
    return Result;
  }
  json_reader Reader{Document, Location + ": ", Result.Findings};
  if (!requireObject(Reader)) {
    return Result;
  }
  if (Parts[0] == "templates" && Parts.size() == 2) {
    Result.Value = readTemplate(Reader, Parts[1]);
  } else if (Parts[0] == "parameters" && Parts.size() == 3) {
    Result.Value = readParameters(Reader, Parts[1], Parts[2]);
  } else if (Parts[0] == "services" && Parts.size() == 2) {
    Result.Value = readService(Reader, Parts[1]);
  } else if (Parts[0] == "instances" && Parts.size() == 3) {
    Result.Value = readInstance(Reader, Parts[1], Parts[2]);
  } else if (Parts[0] == "routing" && Parts.size() == 2) {
    Result.Value = readRouteTable(Reader);
  } else {
    Result.Findings.push_back(
        {Location, "",
         "the key must be templates/NAME, parameters/ORGANISATION/TEMPLATE, "
         "services/NAME, instances/SERVICE/NAME or routing/current"});
  }
  return Result;
}

} // namespace figplank::configuration
