/// \file
/// Connections to other nodes, one per address, opened on demand.
///
/// A connection with calls outstanding that falls silent is pinged; without
/// an answer it is given up and its calls end as lost. Only the connection is
/// condemned: the next call opens a new one, and it is for that one to show
/// whether the node answers. Idle connections cost no pings and are closed.
#pragma once

#include "node/runtime.h"
#include "rpc/node.capnp.h"

#include <capnp/rpc-twoparty.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace figplank::node {

struct peer_settings {
  framework::milliseconds ConnectTimeout{300};
  /// Silence after which a connection with calls outstanding is pinged.
  framework::milliseconds SilenceBeforePing{200};
  /// Time that a ping may take.
  framework::milliseconds PingTimeout{300};
  /// Time without calls after which a connection is closed.
  framework::milliseconds IdleTimeout{30'000};
};

/// One connection.
struct peer_connection : public kj::Refcounted {
  std::string Address;
  kj::Own<kj::AsyncIoStream> Stream;
  kj::Own<capnp::TwoPartyClient> Rpc;
  kj::Maybe<rpc::Node::Client> Client;
  framework::monotonic_time LastHeard;
  framework::monotonic_time LastUsed;
  std::uint32_t Outstanding = 0;
  /// Whether anything was ever heard over it.
  bool Proven = false;
  /// Whether the peer's zone was known when the connection was opened.
  bool ZoneKnown = false;
  bool Dead = false;
  /// Rejected when the connection is given up, which ends its calls.
  kj::Own<kj::PromiseFulfiller<void>> GiveUp;
  kj::Maybe<kj::ForkedPromise<void>> GivenUp;
  /// Gives the connection up when it is closed.
  kj::Maybe<kj::Promise<void>> Watching;
};

/// How a call to a peer ended without an answer.
enum class call_failure : std::uint8_t {
  /// Nothing was sent.
  NotSent,
  /// It may have arrived.
  ConnectionLost,
  /// The time was over.
  TimedOut,
};

struct call_error {
  call_failure Failure = call_failure::ConnectionLost;
  std::string Description;
};

/// A value, or why there is none.
/// NOTE Not a leaf::result: LEAF keeps error objects in a context of the
/// calling scope, which a suspended coroutine leaves.
template <typename ValueType> struct call_result {
  kj::Maybe<ValueType> Value;
  call_error Error;
};

using connection_result = call_result<kj::Own<peer_connection>>;

class peer_pool {
public:
  explicit peer_pool(node_runtime &Node);
  KJ_DISALLOW_COPY(peer_pool);

  /// Connects to \p Address, or finds the open connection.
  task<connection_result> connect(std::string Address);

  /// Sends \p Request on \p Connection and waits until \p Deadline for the
  /// answer.
  template <typename Params, typename Results>
  task<call_result<capnp::Response<Results>>>
  call(kj::Own<peer_connection> Connection,
       capnp::Request<Params, Results> Request,
       framework::monotonic_time Deadline);

  /// Gives up all connections, as after a pause.
  void dropAll();

private:
  /// The open connection to \p Address, or null.
  kj::Own<peer_connection> findOpen(const std::string &Address);
  kj::Own<peer_connection> adopt(const std::string &Address,
                                 kj::Own<kj::AsyncIoStream> Stream);
  task<kj::Own<kj::AsyncIoStream>> openStream(std::string Address);
  /// Whether \p Address is in the own availability zone; bytes to others are
  /// dear. Nothing where its zone is not known yet.
  std::optional<bool> isNear(const std::string &Address) const;
  task<void> watch();
  void check(peer_connection &Connection, framework::monotonic_time Now);
  task<void> ping(kj::Own<peer_connection> Connection);
  void giveUp(peer_connection &Connection);

  node_runtime &Node;
  peer_settings Settings;
  std::map<std::string, kj::Own<peer_connection>> Connections;
};

/// Counts a call on its connection for as long as it lasts.
class outstanding_call {
public:
  explicit outstanding_call(peer_connection &Connection)
      : Connection(Connection) {
    ++Connection.Outstanding;
  }
  ~outstanding_call() { --Connection.Outstanding; }
  KJ_DISALLOW_COPY(outstanding_call);

private:
  peer_connection &Connection;
};

template <typename Params, typename Results>
task<call_result<capnp::Response<Results>>>
peer_pool::call(kj::Own<peer_connection> Connection,
                capnp::Request<Params, Results> Request,
                framework::monotonic_time Deadline) {
  using response = capnp::Response<Results>;
  outstanding_call Counted(*Connection);
  framework::monotonic_time Now = framework::readClocks().Monotonic;
  if (Connection->Outstanding == 1) {
    Connection->LastHeard = Now;
  }
  Connection->LastUsed = Now;
  call_result<response> Result;
  try {
    kj::Promise<response> Sent = Request.send();
    kj::Promise<response> GivenUp =
        KJ_ASSERT_NONNULL(Connection->GivenUp)
            .addBranch()
            .then([]() -> kj::Promise<response> {
              return KJ_EXCEPTION(DISCONNECTED, "connection given up");
            });
    kj::Promise<response> Either = Sent.exclusiveJoin(kj::mv(GivenUp));
    kj::Promise<response> Timed =
        Node.Timer.timeoutAfter(toDuration(Deadline - Now), kj::mv(Either));
    Result.Value = co_await kj::mv(Timed);
    Connection->LastHeard = framework::readClocks().Monotonic;
    Connection->Proven = true;
  } catch (const kj::Exception &Exception) {
    bool Overdue = Exception.getType() == kj::Exception::Type::OVERLOADED;
    Result.Error = {Overdue ? call_failure::TimedOut
                            : call_failure::ConnectionLost,
                    Exception.getDescription().cStr()};
    if (!Overdue) {
      giveUp(*Connection);
    }
  }
  co_return kj::mv(Result);
}

} // namespace figplank::node
