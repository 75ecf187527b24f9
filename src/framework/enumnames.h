/// \file
/// Conversion between enumerators and their names, which are listed in a
/// constexpr table for each enum class.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace figplank::framework {

/// One row of a table of enumerator names.
template <typename Enum> struct enum_name {
  Enum Value;
  std::string_view Name;
};

/// Returns the name of \p Value, or "invalid" if the table does not list it.
template <typename Enum, std::size_t Size>
constexpr std::string_view
nameOf(const std::array<enum_name<Enum>, Size> &Table, Enum Value) {
  for (const enum_name<Enum> &Row : Table) {
    if (Row.Value == Value) {
      return Row.Name;
    }
  }
  return "invalid";
}

/// Returns the value with name \p Name, if the table lists one.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum>
valueOf(const std::array<enum_name<Enum>, Size> &Table, std::string_view Name) {
  for (const enum_name<Enum> &Row : Table) {
    if (Row.Name == Name) {
      return Row.Value;
    }
  }
  return std::nullopt;
}

} // namespace figplank::framework
