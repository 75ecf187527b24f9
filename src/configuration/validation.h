/// \file
/// Checks of published values. A value is judged alone, so that every node
/// accepts or refuses the same revision whatever else it has seen.
#pragma once

#include "configuration/configurationtypes.h"
#include "framework/findings.h"

#include <string>
#include <string_view>
#include <variant>

namespace figplank::configuration {

/// A parsed value; monostate where findings made parsing pointless.
using parsed_value =
    std::variant<std::monostate, work_template, work_parameters,
                 service_settings, instance, route_table>;

/// A parsed value with all problems found in it. Without findings the value
/// is acceptable.
struct validation_result {
  parsed_value Value;
  framework::findings Findings;
};

/// The host in lower case and without its port.
std::string normalizeHost(std::string_view Host);

/// Longest accepted value in bytes, the platform's own limit.
inline constexpr std::size_t MaxValueBytes = std::size_t{1} << 20U;

/// Parses and checks the JSON text \p Value published under \p Key. Findings
/// carry `KEY: /json/pointer` as their place.
validation_result validateValue(std::string_view Key, std::string_view Value);

} // namespace figplank::configuration
