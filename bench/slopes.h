/// \file
/// Benchmark of how the resource use of a node grows with the number of
/// entries, nodes, ids, upstreams and organisations, for docs/CAPACITY.md.
#pragma once

namespace figplank::bench {

int benchSlopes();

} // namespace figplank::bench
