/// \file
/// The node as a whole: its parts, its ports, its ticks and its shutdown.
#pragma once

#include "node/settings.h"

namespace figplank::node {

/// Runs a node until SIGTERM or SIGINT and until its requests have ended, or
/// the grace is over. Returns the exit code of the process.
int runNode(const node_settings &Settings);

} // namespace figplank::node
