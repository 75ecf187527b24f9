/// \file
/// A fleet whose configuration changes at the daily rate, and what that costs.
#pragma once

#include "standins/fleet.h"

#include <string>

namespace figplank::bench {

/// One service of \p Nodes upstreams over \p Zones availability zones.
standins::fleet_spec manyNodes(unsigned Nodes, unsigned Zones, bool Relays);

/// A template of about 500 bytes; differs by \p Turn.
std::string someValue(int Turn);

/// Means over all nodes but the memory, which is the largest.
struct steady_cost {
  double CorePercent = 0.0;
  /// Sent and received.
  double BytesPerSecond = 0.0;
  double PlatformCallsPerSecond = 0.0;
  double MegaBytes = 0.0;
};

/// Publishes \p Changes changes at the rate of 37,000 a day, and measures the
/// nodes meanwhile. Nothing else may use the loopback interface.
steady_cost measureSteady(standins::fleet &Fleet, int Changes);

} // namespace figplank::bench
