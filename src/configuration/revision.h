/// \file
/// Revisions of the platform's entries. The platform may return from an older
/// copy of its data. What was written since that copy is then lost, and its
/// revision numbers go back and are used again for other content. Each such
/// return begins a new era.
///
/// A revision holds the era and the number in one integer, the era in the
/// higher bits, so that revisions are ordered by era first. The revisions of a
/// platform without eras are their numbers.
#pragma once

#include <cstdint>
#include <string>

namespace figplank::configuration {

inline constexpr unsigned RevisionNumberBits = 48;
inline constexpr std::uint64_t MaxRevisionNumber =
    (std::uint64_t{1} << RevisionNumberBits) - 1;
inline constexpr std::uint64_t MaxEra =
    (std::uint64_t{1} << (64U - RevisionNumberBits)) - 1;

/// \p Era must not exceed MaxEra, and \p Number not MaxRevisionNumber.
constexpr std::uint64_t makeRevision(std::uint64_t Era, std::uint64_t Number) {
  return Era << RevisionNumberBits | Number;
}

constexpr std::uint64_t eraOf(std::uint64_t Revision) {
  return Revision >> RevisionNumberBits;
}

constexpr std::uint64_t numberOf(std::uint64_t Revision) {
  return Revision & MaxRevisionNumber;
}

/// `ERA.NUMBER`, or the number alone in era 0.
inline std::string formatRevision(std::uint64_t Revision) {
  std::string Number = std::to_string(numberOf(Revision));
  return eraOf(Revision) == 0 ? Number
                              : std::to_string(eraOf(Revision)) + "." + Number;
}

} // namespace figplank::configuration
