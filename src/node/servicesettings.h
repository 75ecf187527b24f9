/// \file
/// Applies what the configuration says of this node's own service and backend
/// server: slots, minimum shares, roster, and whether the backend server is
/// leaving.
#pragma once

#include "node/runtime.h"

namespace figplank::node {

/// Called after each change of the configuration.
void applyServiceSettings(node_runtime &Node);

/// Records that the backend server leaves, if that is not known yet.
void recordBackendLeaving(node_runtime &Node);

} // namespace figplank::node
