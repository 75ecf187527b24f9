/// \file
/// Benchmark of at most once and true refusals under random faults.
#pragma once

#include <cstdint>

namespace figplank::bench {

int benchOnce(std::uint64_t Seed);

} // namespace figplank::bench
