/// \file
/// Benchmark of the latency that two nodes add to a call.
#pragma once

namespace figplank::bench {

int benchPath();

} // namespace figplank::bench
