/// \file
/// Functions that read members of JSON objects and collect findings instead of
/// throwing.
#pragma once

#include "framework/findings.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace figplank::configuration {

/// Maximum nesting of arrays and objects in a parsed value. The functions that
/// copy and print values are recursive.
inline constexpr int MaxJsonDepth = 32;

/// Parses \p Text. Returns a discarded value if it is not valid JSON or nested
/// more deeply than MaxJsonDepth.
nlohmann::json parseJson(std::string_view Text);

/// A JSON value to be read as an object, its location, and the list that
/// findings about it are added to.
struct json_reader {
  const nlohmann::json &Object;
  std::string Location;
  framework::findings &Findings;
};

/// Adds a finding about member \p Name of the reader's object, or about the
/// object itself if \p Name is empty.
void addFinding(json_reader &Reader, std::string_view Name,
                std::string_view Problem);

/// Returns whether the reader's value is an object, and adds a finding if not.
bool requireObject(json_reader &Reader);

/// Adds a finding for each member that is not one of \p KnownMembers.
void reportUnknownMembers(json_reader &Reader,
                          std::initializer_list<std::string_view> KnownMembers);

/// Reads a string member of 1 to \p MaxLength bytes. Returns nothing if it is
/// missing or invalid. Adds a finding if it is invalid, or missing though
/// \p Required; the functions below do the same.
std::optional<std::string> readString(json_reader &Reader,
                                      std::string_view Name,
                                      std::size_t MaxLength, bool Required);

/// Reads an integer member in [\p Min, \p Max].
std::optional<std::uint32_t> readUnsigned(json_reader &Reader,
                                          std::string_view Name,
                                          std::uint32_t Min, std::uint32_t Max,
                                          bool Required);

/// Reads a number member in [\p Min, \p Max].
std::optional<double> readNumber(json_reader &Reader, std::string_view Name,
                                 double Min, double Max, bool Required);

std::optional<bool> readBoolean(json_reader &Reader, std::string_view Name,
                                bool Required);

} // namespace figplank::configuration
