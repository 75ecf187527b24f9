/// \file
/// Benchmark that injects random faults and checks that no request is executed
/// twice and that no request reported as not run was executed.
#pragma once

#include <cstdint>

namespace figplank::bench {

int benchOnce(std::uint64_t Seed);

} // namespace figplank::bench
