/// \file
/// The daemon: the node's parts, its ports, signals and ticks.
#pragma once

#include "node/dialect.h"
#include "node/platformreader.h"
#include "node/settings.h"

#include <functional>
#include <string>

namespace figplank::node {

/// What differs between the product's own interface and a platform that it is
/// fitted to.
struct deployment {
  /// How requests of routes look; null for a node without routes.
  const wire_dialect *Dialect = nullptr;
  /// How the platform is read; by default the product's own way.
  std::function<platform_source(const node_settings &)> Source;
  /// Reads the settings again; false if they are not valid.
  std::function<bool(node_settings &)> Reload;
  /// What the ready address is asked for.
  std::string ReadyPath = "/ready";

  /// The source to read, without functions if there is no platform.
  platform_source makeSource(const node_settings &Settings) const;
};

/// Runs until a signal ends it. Returns the exit code.
int runNode(const node_settings &Settings, const deployment &Deployment);

} // namespace figplank::node
