/// \file
/// A deployment for tests and benchmarks. Each node is a separate process;
/// platform and backend servers run in threads of the test process.
#pragma once

#include "standins/backendserver.h"
#include "standins/platform.h"
#include "standins/relay.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace figplank::standins {

struct service_spec {
  std::string Name;
  unsigned Upstreams = 2;
  unsigned Slots = 10;
  std::map<std::string, path_behaviour> Paths;
  unsigned MaxQueued = 10;
  double ColdFactor = 1.0;
  unsigned ColdRequests = 0;
};

struct template_spec {
  std::string Name;
  std::string Service;
  std::string Path;
  unsigned Rank = 3;
  unsigned DeadlineMs = 1'000;
  bool Idempotent = true;
  unsigned ExtraTries = 2;
  double MinimumShare = 0.05;
};

struct fleet_spec {
  std::vector<service_spec> Services;
  std::vector<template_spec> Templates;
  std::vector<std::string> Organisations;
  unsigned Zones = 2;
  /// Puts a relay in front of each node's RPC port.
  bool Relays = false;
  /// Additional command-line flags of every node.
  std::vector<std::string> NodeFlags;
};

struct fleet_node {
  std::string Name;
  std::string Service;
  unsigned Zone = 0;
  std::string Http;
  std::string Rpc;
  std::string RpcListenAddress;
  std::string AdminAddress;
  std::string BackendAddress;
  pid_t Process = 0;
  std::unique_ptr<backend_server> Backend;
  std::unique_ptr<relay> Relay;
};

/// A chain of \p Length services with \p Upstreams upstreams each, in which the
/// idempotent template `step1` calls `step2` and so on.
fleet_spec linearChain(unsigned Length, unsigned Upstreams);

/// Returns a free TCP port of the loopback interface.
unsigned freePort();

/// Returns a loopback `IP:PORT` with a free port.
std::string freeAddress();

class fleet {
public:
  explicit fleet(fleet_spec Spec);
  ~fleet();
  fleet(const fleet &) = delete;
  fleet &operator=(const fleet &) = delete;

  /// Waits until every node is ready and has the platform's latest revision.
  /// Returns whether that happened within \p Timeout.
  bool awaitReady(
      std::chrono::milliseconds Timeout = std::chrono::milliseconds(20'000));

  void signalNode(std::size_t Index, int Signal);
  /// Waits until a node process exits; returns its exit code, or -1 if a
  /// signal terminated it.
  int awaitExit(std::size_t Index);
  /// Starts the process of a node. A restarted node keeps its addresses.
  void startNode(std::size_t Index);
  /// The node's `/status`; null unless the node responds with 200.
  nlohmann::json status(std::size_t Index) const;
  std::string metrics(std::size_t Index) const;

  /// Publishes the slots of a service, with all its nodes as the roster.
  void publishService(const std::string &Name);
  void publishInstance(std::size_t Index, const std::string &State);

  std::vector<std::size_t> nodesOf(const std::string &Service) const;
  std::vector<std::string> entries() const;
  /// Blocks all connections between zone \p Zone and the other zones or the
  /// platform. Needs `fleet_spec::Relays`.
  void cutZone(unsigned Zone);
  /// Reverts cutZone().
  void healZones();

  fleet_spec Spec;
  loop_thread Loop;
  execution_log Log;
  std::string PlatformAddress;
  std::unique_ptr<platform> Platform;
  std::vector<fleet_node> Nodes;

private:
  void makeNodes();
  void publishAll();
  std::string zoneAddressPrefix(unsigned Zone) const;
};

} // namespace figplank::standins
