/// \file
/// The node's RPC port: calls of other nodes.
///
/// Nodes trust each other only to be figplank nodes: every field is checked
/// before use, configuration counts only by the platform's revision and the
/// validation that each node does itself, and a message that cannot be read
/// is counted and refused without harm to the connection's other calls.
#pragma once

#include "node/dissemination.h"
#include "node/upstream.h"
#include "rpc/node.capnp.h"

namespace figplank::node {

class rpc_service final : public rpc::Node::Server {
public:
  rpc_service(node_runtime &Node, upstream_service &Upstream,
              disseminator &Dissemination);

protected:
  kj::Promise<void> run(RunContext Context) override;
  kj::Promise<void> handOver(HandOverContext Context) override;
  kj::Promise<void> push(PushContext Context) override;
  kj::Promise<void> exchange(ExchangeContext Context) override;
  kj::Promise<void> notify(NotifyContext Context) override;
  kj::Promise<void> ping(PingContext Context) override;

private:
  task<void> runCall(RunContext Context);
  task<void> handOverCall(HandOverContext Context);

  node_runtime &Node;
  upstream_service &Upstream;
  disseminator &Dissemination;
};

} // namespace figplank::node
