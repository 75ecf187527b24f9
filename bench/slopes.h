/// \file
/// Benchmark of how the cost of a node grows, for docs/CAPACITY.md.
#pragma once

namespace figplank::bench {

int benchSlopes();

} // namespace figplank::bench
