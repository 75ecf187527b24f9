/// \file
/// Validation of published values. Each value is validated without regard to
/// other entries, so that all nodes agree on whether a revision is valid,
/// whichever other entries they have received.
#pragma once

#include "configuration/configurationtypes.h"
#include "framework/findings.h"

#include <string>
#include <string_view>
#include <variant>

namespace figplank::configuration {

/// A parsed value; monostate if it could not be parsed.
using parsed_value =
    std::variant<std::monostate, work_template, work_parameters,
                 service_settings, instance, route_table>;

/// A parsed value with all findings about it. The value is valid only if there
/// are none.
struct validation_result {
  parsed_value Value;
  framework::findings Findings;
};

/// Returns \p Host in lower case and without its port.
std::string normalizeHost(std::string_view Host);

/// Maximum time for which an instance may be slow after its start.
inline constexpr std::uint32_t MaxWarmUpMs = 3'600'000;

/// Maximum size of a value in bytes. Twice the limit of the platform, whose
/// values a deployment may translate to longer ones.
inline constexpr std::size_t MaxValueBytes = std::size_t{2} << 20U;

/// Parses and validates the JSON text \p Value published under \p Key. The
/// location of each finding is `KEY: /json/pointer`.
validation_result validateValue(std::string_view Key, std::string_view Value);

} // namespace figplank::configuration
