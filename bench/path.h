/// \file
/// Benchmark of the time that two nodes add to a call.
#pragma once

namespace figplank::bench {

int benchPath();

} // namespace figplank::bench
