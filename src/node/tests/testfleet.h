/// \file
/// Small fleets shared by the tests that run real node processes.
#pragma once

#include "standins/fleet.h"
#include "standins/loadgenerator.h"
#include "standins/waiting.h"

#include <string>

namespace figplank::node::tests {

/// Value of --clock-bound-ms of the test nodes. A node runs new ids only after
/// this time has passed since its start.
inline constexpr std::chrono::milliseconds ClockBound{200};

/// A fleet with the service `ledger`, which has \p Upstreams upstreams, one per
/// zone. It runs the non-idempotent template `charge` and the idempotent
/// `price`, each in \p ServiceTime.
standins::fleet_spec ledgerFleet(unsigned Upstreams,
                                 std::chrono::milliseconds ServiceTime);

/// Waits until the nodes are ready and run new ids.
bool awaitServing(standins::fleet &Fleet);

/// A new idempotency key, a UUIDv7.
std::string newKey();

/// Index of the node that is the home of \p Key.
std::size_t homeIndex(const standins::fleet &Fleet, const std::string &Service,
                      const std::string &Key);

/// A new key whose home is the node \p Index.
std::string keyWithHome(const standins::fleet &Fleet,
                        const std::string &Service, std::size_t Index);

standins::load_stream chargeStream();
standins::load_stream priceStream();

/// Number of runs of \p Key that were started, over all backend servers.
std::size_t countStartedRuns(const standins::fleet &Fleet,
                             const std::string &Key);

using standins::eventually;

} // namespace figplank::node::tests
