/// \file
/// 64-bit xxHash values. All nodes compute the same hash for the same text.
#pragma once

#include <cstdint>
#include <string_view>

namespace figplank::framework {

/// Returns the XXH3 hash of \p Text with \p Seed.
std::uint64_t hashText(std::string_view Text, std::uint64_t Seed = 0);

/// Maps the upper 53 bits of \p Hash to [0, 1).
constexpr double hashFraction(std::uint64_t Hash) {
  constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
  return static_cast<double>(Hash >> 11U) * Scale;
}

} // namespace figplank::framework
