/// \file
/// The node's RPC service, called by other nodes.
///
/// A node trusts its peers only to be figplank nodes. Every field is checked
/// before use. A configuration entry is applied only if the platform's revision
/// is newer and this node's own validation accepts it. A malformed message is
/// counted and refused, and other calls on its connection are not affected.
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
