/// \file
/// Resource use of a fleet while its configuration changes at the usual daily
/// rate.
#pragma once

#include "standins/fleet.h"

#include <string>

namespace figplank::bench {

/// One service with \p Nodes upstreams in \p Zones availability zones.
standins::fleet_spec singleServiceFleet(unsigned Nodes, unsigned Zones,
                                        bool Relays);

/// The JSON of a template, about 500 bytes; differs for each \p Variant.
std::string makeTemplateValue(int Variant);

/// Means over all nodes, except `MegaBytes`, which is the maximum.
struct steady_cost {
  double CorePercent = 0.0;
  /// Bytes sent and received.
  double BytesPerSecond = 0.0;
  double PlatformCallsPerSecond = 0.0;
  double MegaBytes = 0.0;
};

/// Publishes \p Changes changes at a rate of 37,000 per day and measures the
/// nodes meanwhile. No other process may use the loopback interface.
steady_cost measureSteadyCost(standins::fleet &Fleet, int Changes);

} // namespace figplank::bench
