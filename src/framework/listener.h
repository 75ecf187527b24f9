/// \file
/// Accepting connections on a KJ event loop.
#pragma once

#include <kj/async-io.h>
#include <kj/timer.h>

namespace figplank::framework {

/// Wraps \p Receiver so that a failed accept, for example while no file
/// descriptor is free, is logged and repeated after a short wait. Without it
/// the failure would end the loop that serves the port.
kj::Own<kj::ConnectionReceiver>
retryFailedAccepts(kj::Own<kj::ConnectionReceiver> Receiver, kj::Timer &Timer);

} // namespace figplank::framework
