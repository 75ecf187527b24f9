/// \file
/// Benchmark of how changes of the configuration take effect.
#pragma once

namespace figplank::bench {

int benchConfig();

} // namespace figplank::bench
