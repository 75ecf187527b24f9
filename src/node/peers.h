/// \file
/// Connections to other nodes, one per address, opened on demand.
///
/// A connection that has outstanding calls but has received no answer for a
/// while is pinged. If the ping fails, the connection is aborted: it takes no
/// further calls, and its calls fail with ConnectionLost unless they wait for
/// the answer to work that must not be repeated. This says nothing about the
/// node: the next call opens a new connection. Idle connections are not pinged;
/// they are closed after IdleTimeout.
#pragma once

#include "framework/memoryaccount.h"
#include "node/runtime.h"
#include "rpc/node.capnp.h"

#include <capnp/rpc-twoparty.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace figplank::node {

struct peer_settings {
  framework::milliseconds ConnectTimeout{300};
  /// Time without an answer after which a connection with outstanding calls is
  /// pinged.
  framework::milliseconds SilenceBeforePing{200};
  /// Maximum round-trip time of a ping.
  framework::milliseconds PingTimeout{300};
  /// Time without calls after which a connection is closed.
  framework::milliseconds IdleTimeout{30'000};
};

/// A connection to another node.
struct peer_connection : public kj::Refcounted {
  std::string Address;
  /// Charges for long messages that are queued, in the order in which they are
  /// written. A message stays queued when its call has ended.
  std::deque<framework::memory_charge> UnwrittenMessages;
  kj::Own<kj::AsyncIoStream> Stream;
  kj::Own<capnp::TwoPartyClient> Rpc;
  kj::Maybe<rpc::Node::Client> Client;
  framework::monotonic_time LastHeard;
  framework::monotonic_time LastUsed;
  std::uint32_t Outstanding = 0;
  /// Whether any call or ping on this connection was answered.
  bool EverAnswered = false;
  /// Whether the peer's zone was known when the connection was opened.
  bool ZoneKnown = false;
  bool Aborted = false;
  /// Fulfilled when the connection is aborted, which fails its calls.
  kj::Own<kj::PromiseFulfiller<void>> AbortFulfiller;
  kj::Maybe<kj::ForkedPromise<void>> AbortPromise;
  /// Aborts the connection when its stream disconnects.
  kj::Maybe<kj::Promise<void>> DisconnectHandler;
};

/// Why a call to a peer got no answer.
enum class call_failure : std::uint8_t {
  /// The request was not sent.
  NotSent,
  /// The request may have arrived.
  ConnectionLost,
  /// The deadline passed first.
  TimedOut,
};

struct call_error {
  call_failure Failure = call_failure::ConnectionLost;
  std::string Description;
};

/// A value or an error.
/// NOTE leaf::result cannot be used here: LEAF stores error objects in a
/// context of the calling scope, and a suspended coroutine leaves that scope.
template <typename ValueType> struct call_result {
  kj::Maybe<ValueType> Value;
  call_error Error;
};

/// What happens to a call whose connection is aborted because it is silent. The
/// peer may only be slow or paused and answer later.
enum class silence_policy : std::uint8_t {
  /// The call fails, so that it can be repeated elsewhere.
  Fail,
  /// The call waits until its deadline or until the peer disconnects.
  Wait,
};

/// Ends the charge for the first unwritten message of \p Connection, if it is
/// the one of \p Bytes bytes that was written. Other long messages have no
/// charge.
void recordWritten(peer_connection &Connection, std::size_t Bytes);

using connection_result = call_result<kj::Own<peer_connection>>;

class peer_pool {
public:
  explicit peer_pool(node_runtime &Node);
  KJ_DISALLOW_COPY(peer_pool);

  /// Returns the open connection to \p Address, or opens one.
  task<connection_result> connect(std::string Address);

  /// Sends \p Request on \p Connection and waits until \p Deadline for the
  /// answer.
  template <typename Params, typename Results>
  task<call_result<capnp::Response<Results>>>
  call(kj::Own<peer_connection> Connection,
       capnp::Request<Params, Results> Request,
       framework::monotonic_time Deadline,
       silence_policy OnSilence = silence_policy::Fail);

private:
  /// The open connection to \p Address, or null.
  kj::Own<peer_connection> findOpen(const std::string &Address);
  /// Creates a connection on \p Stream and adds it to the pool.
  kj::Own<peer_connection> addConnection(const std::string &Address,
                                         kj::Own<kj::AsyncIoStream> Stream);
  task<kj::Own<kj::AsyncIoStream>> openStream(std::string Address);
  /// Whether \p Address is in this node's availability zone. Traffic to other
  /// zones is expensive and therefore compressed. Nothing if the zone of \p
  /// Address is not known yet.
  std::optional<bool> isInLocalZone(const std::string &Address) const;
  task<void> monitorLoop();
  /// Starts a ping if \p Connection has outstanding calls and has been silent
  /// for too long.
  void pingIfSilent(peer_connection &Connection, framework::monotonic_time Now);
  task<void> ping(kj::Own<peer_connection> Connection);
  /// Fails the calls on \p Connection and excludes it from further use.
  void abort(peer_connection &Connection);

  node_runtime &Node;
  peer_settings Settings;
  std::map<std::string, kj::Own<peer_connection>> Connections;
};

/// Counts a call as outstanding on its connection while in scope.
class outstanding_call_guard {
public:
  explicit outstanding_call_guard(peer_connection &Connection)
      : Connection(Connection) {
    ++Connection.Outstanding;
  }
  ~outstanding_call_guard() { --Connection.Outstanding; }
  KJ_DISALLOW_COPY(outstanding_call_guard);

private:
  peer_connection &Connection;
};

template <typename Params, typename Results>
task<call_result<capnp::Response<Results>>>
peer_pool::call(kj::Own<peer_connection> Connection,
                capnp::Request<Params, Results> Request,
                framework::monotonic_time Deadline, silence_policy OnSilence) {
  using response = capnp::Response<Results>;
  outstanding_call_guard Guard(*Connection);
  framework::monotonic_time Now = framework::readClocks().Monotonic;
  if (Connection->Outstanding == 1) {
    Connection->LastHeard = Now;
  }
  Connection->LastUsed = Now;
  call_result<response> Result;
  try {
    kj::Promise<response> Answer = Request.send();
    if (OnSilence == silence_policy::Fail) {
      Answer = Answer.exclusiveJoin(
          KJ_ASSERT_NONNULL(Connection->AbortPromise)
              .addBranch()
              .then([]() -> kj::Promise<response> {
                return KJ_EXCEPTION(DISCONNECTED, "connection aborted");
              }));
    }
    kj::Promise<response> Timed =
        Node.Timer.timeoutAfter(toDuration(Deadline - Now), kj::mv(Answer));
    Result.Value = co_await kj::mv(Timed);
    Connection->LastHeard = framework::readClocks().Monotonic;
    Connection->EverAnswered = true;
  } catch (const kj::Exception &Exception) {
    bool TimedOut = Exception.getType() == kj::Exception::Type::OVERLOADED;
    Result.Error = {TimedOut ? call_failure::TimedOut
                             : call_failure::ConnectionLost,
                    Exception.getDescription().cStr()};
    if (!TimedOut) {
      abort(*Connection);
    }
  }
  co_return kj::mv(Result);
}

} // namespace figplank::node
