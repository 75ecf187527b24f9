#include "framework/hashing.h"

#include <xxhash.h>

namespace figplank::framework {

std::uint64_t hashText(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

} // namespace figplank::framework
