/// \file
/// Reading of JSON objects that collects findings instead of throwing.
#pragma once

#include "framework/findings.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace figplank::configuration {

/// One JSON object, its place, and where its findings go.
struct json_reader {
  const nlohmann::json &Object;
  std::string Location;
  framework::findings &Findings;
};

/// Adds a finding at member \p Name of the reader's object.
void addFinding(json_reader &Reader, std::string_view Name,
                std::string_view Problem);

/// Returns whether the value is an object, with a finding where it is not.
bool requireObject(json_reader &Reader);

/// Adds a finding for each member that is not one of \p Known.
void refuseUnknownMembers(json_reader &Reader,
                          std::initializer_list<std::string_view> Known);

/// A text member of 1 to \p MaxLength characters; nothing where it is missing
/// or wrong.
std::optional<std::string> readText(json_reader &Reader, std::string_view Name,
                                    std::size_t MaxLength, bool Required);

/// A whole number in [\p Least, \p Most].
std::optional<std::uint32_t> readWhole(json_reader &Reader,
                                       std::string_view Name,
                                       std::uint32_t Least, std::uint32_t Most,
                                       bool Required);

/// A number in [\p Least, \p Most].
std::optional<double> readNumber(json_reader &Reader, std::string_view Name,
                                 double Least, double Most, bool Required);

std::optional<bool> readBoolean(json_reader &Reader, std::string_view Name,
                                bool Required);

} // namespace figplank::configuration
