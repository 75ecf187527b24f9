/// \file
/// The small fleets that the process tests share.
#pragma once

#include "standins/fleet.h"
#include "standins/loadgenerator.h"
#include "standins/waiting.h"

#include <string>

namespace figplank::node::tests {

/// Difference between clocks that the test nodes allow; ids run this long
/// after a node's start.
inline constexpr std::chrono::milliseconds ClockBound{200};

/// Service `ledger` with \p Upstreams upstreams, one a zone, which runs the
/// non-idempotent template `charge` and the idempotent `price`, both in
/// \p ServiceTime.
standins::fleet_spec ledgerFleet(unsigned Upstreams,
                                 std::chrono::milliseconds ServiceTime);

/// Waits until the nodes are ready and run new ids.
bool awaitServing(standins::fleet &Fleet);

/// A new UUIDv7 key.
std::string newKey();

/// The upstream whose node is the home of \p Key.
std::size_t homeIndex(const standins::fleet &Fleet, const std::string &Service,
                      const std::string &Key);

/// A new key with the given home.
std::string keyWithHome(const standins::fleet &Fleet,
                        const std::string &Service, std::size_t Index);

standins::load_stream chargeStream();
standins::load_stream priceStream();

/// Runs of \p Key that began, on all backend servers.
std::size_t startsOf(const standins::fleet &Fleet, const std::string &Key);

using standins::eventually;

} // namespace figplank::node::tests
