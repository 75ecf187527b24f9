/// \file
/// Benchmark of the time until configuration changes take effect on all nodes.
#pragma once

namespace figplank::bench {

int benchConfig();

} // namespace figplank::bench
