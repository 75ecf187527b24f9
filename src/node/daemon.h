/// \file
/// The node's process: construction of its components, ports, signals and
/// periodic ticks.
#pragma once

#include "node/dialect.h"
#include "node/platformreader.h"
#include "node/settings.h"

#include <functional>
#include <string>

namespace figplank::node {

/// Deployment-specific parts of the node. The defaults are figplank's own
/// interface; an adapter for another platform replaces them.
struct deployment {
  /// Wire format of requests of routes; null for a node without routes.
  const wire_dialect *Dialect = nullptr;
  /// Creates the source that reads the platform; watchSource if empty.
  std::function<platform_source(const node_settings &)> Source;
  /// Reads the settings again. Returns false if they are invalid.
  std::function<bool(node_settings &)> Reload;
  /// Path of the readiness probe at the ready address.
  std::string ReadyPath = "/ready";

  /// The platform source for \p Settings; one without functions if no platform
  /// address is set.
  platform_source makeSource(const node_settings &Settings) const;
};

/// Runs the node until SIGTERM or SIGINT. Returns the exit code of the process.
int runNode(const node_settings &Settings, const deployment &Deployment);

} // namespace figplank::node
