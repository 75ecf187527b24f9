#include "node/peers.h"

#include "node/boundsocket.h"
#include "node/peerstream.h"

#include <vector>

namespace figplank::node {
namespace {

using framework::monotonic_time;
using framework::readClocks;

/// Interval at which the connections are checked.
constexpr framework::milliseconds MonitorInterval{100};

} // namespace

void recordWritten(peer_connection &Connection, std::size_t Bytes) {
  bool IsCharged = !Connection.UnwrittenMessages.empty() &&
                   Bytes >= Connection.UnwrittenMessages.front().bytes();
  if (IsCharged) {
    Connection.UnwrittenMessages.pop_front();
  }
}

peer_pool::peer_pool(node_runtime &Node) : Node(Node) {
  Node.Tasks.add(monitorLoop());
}

kj::Own<peer_connection> peer_pool::findOpen(const std::string &Address) {
  auto Found = Connections.find(Address);
  if (Found == Connections.end() || Found->second->Aborted) {
    return {};
  }
  return kj::addRef(*Found->second);
}

task<connection_result> peer_pool::connect(std::string Address) {
  connection_result Result;
  kj::Own<peer_connection> Open = findOpen(Address);
  if (Open.get() != nullptr) {
    Result.Value = kj::mv(Open);
    co_return kj::mv(Result);
  }
  kj::Own<kj::AsyncIoStream> Stream;
  try {
    kj::Promise<kj::Own<kj::AsyncIoStream>> Connecting = openStream(Address);
    kj::Promise<kj::Own<kj::AsyncIoStream>> Timed = Node.Timer.timeoutAfter(
        toDuration(Settings.ConnectTimeout), kj::mv(Connecting));
    Stream = co_await kj::mv(Timed);
  } catch (const kj::Exception &Exception) {
    Result.Error = {call_failure::NotSent, Exception.getDescription().cStr()};
  }
  if (Stream.get() == nullptr) {
    co_return kj::mv(Result);
  }
  // Another call may have opened a connection in the meantime.
  Open = findOpen(Address);
  Result.Value = Open.get() != nullptr ? kj::mv(Open)
                                       : addConnection(Address, kj::mv(Stream));
  co_return kj::mv(Result);
}

kj::Own<peer_connection>
peer_pool::addConnection(const std::string &Address,
                         kj::Own<kj::AsyncIoStream> Stream) {
  kj::Own<peer_connection> Connection = kj::refcounted<peer_connection>();
  Connection->Address = Address;
  std::optional<bool> LocalZone = isInLocalZone(Address);
  Connection->ZoneKnown = LocalZone.has_value();
  peer_connection &Added = *Connection;
  Connection->Stream = wrapPeerStream(
      kj::mv(Stream),
      LocalZone.value_or(false) ? stream_coding::Plain
                                : stream_coding::Compressed,
      [&Added](std::size_t Bytes) { recordWritten(Added, Bytes); });
  Connection->Rpc = kj::heap<capnp::TwoPartyClient>(*Connection->Stream);
  Connection->Client = Connection->Rpc->bootstrap().castAs<rpc::Node>();
  auto Abort = kj::newPromiseAndFulfiller<void>();
  Connection->AbortFulfiller = kj::mv(Abort.fulfiller);
  Connection->AbortPromise = Abort.promise.fork();
  Connection->LastHeard = readClocks().Monotonic;
  Connection->LastUsed = Connection->LastHeard;
  Connection->DisconnectHandler = Connection->Rpc->onDisconnect()
                                      .then([this, &Added]() { abort(Added); })
                                      .eagerlyEvaluate([](kj::Exception &&) {});
  Connections[Address] = kj::addRef(*Connection);
  return Connection;
}

std::optional<bool> peer_pool::isInLocalZone(const std::string &Address) const {
  for (const auto &[Service, Instances] : Node.Store.Catalog.Instances) {
    for (const auto &[Name, Instance] : Instances) {
      if (Instance.Address == Address) {
        return Instance.Zone == Node.Settings.Zone;
      }
    }
  }
  return std::nullopt;
}

task<kj::Own<kj::AsyncIoStream>> peer_pool::openStream(std::string Address) {
  if (!Node.Settings.SourceIp.empty()) {
    kj::Own<kj::AsyncIoStream> Bound = co_await connectFrom(
        *Node.Io.lowLevelProvider, Node.Settings.SourceIp, Address);
    co_return kj::mv(Bound);
  }
  kj::Own<kj::NetworkAddress> Parsed =
      co_await Node.Network.parseAddress(Address.c_str());
  kj::Own<kj::AsyncIoStream> Stream = co_await Parsed->connect();
  co_return kj::mv(Stream);
}

void peer_pool::abort(peer_connection &Connection) {
  if (Connection.Aborted) {
    return;
  }
  Connection.Aborted = true;
  Connection.AbortFulfiller->fulfill();
}

task<void> peer_pool::ping(kj::Own<peer_connection> Connection) {
  bool Answered = false;
  try {
    auto Request = KJ_ASSERT_NONNULL(Connection->Client).pingRequest();
    kj::Promise<void> Pinged = Request.send().ignoreResult();
    kj::Promise<void> Timed = Node.Timer.timeoutAfter(
        toDuration(Settings.PingTimeout), kj::mv(Pinged));
    co_await kj::mv(Timed);
    Answered = true;
  } catch (const kj::Exception &) {
    Answered = false;
  }
  if (Answered) {
    Connection->LastHeard = readClocks().Monotonic;
    Connection->EverAnswered = true;
    co_return;
  }
  if (!Connection->Aborted) {
    Node.Metrics.DeadConnections->Increment();
    framework::logEvent(framework::log_level::Warning, "connection_ping_failed",
                        {{"peer", Connection->Address},
                         {"outstanding", Connection->Outstanding}});
  }
  abort(*Connection);
}

void peer_pool::pingIfSilent(peer_connection &Connection, monotonic_time Now) {
  bool IsSilent = Now - Connection.LastHeard > Settings.SilenceBeforePing;
  if (Connection.Outstanding > 0 && IsSilent) {
    // Postpones the next ping until this one has ended.
    Connection.LastHeard = Now + Settings.PingTimeout;
    Node.Tasks.add(ping(kj::addRef(Connection)));
  }
}

task<void> peer_pool::monitorLoop() {
  while (true) {
    co_await Node.Timer.afterDelay(toDuration(MonitorInterval));
    monotonic_time Now = readClocks().Monotonic;
    std::vector<std::string> ToClose;
    for (auto &[Address, Connection] : Connections) {
      bool Unused = Connection->Outstanding == 0;
      bool Idle = Unused && Now - Connection->LastUsed > Settings.IdleTimeout;
      // Opened before the peer's zone was known. The next call reopens it in
      // the coding for that zone.
      bool CodingOutdated =
          Unused && !Connection->ZoneKnown && isInLocalZone(Address);
      if (Connection->Aborted || Idle || CodingOutdated) {
        ToClose.push_back(Address);
      } else {
        pingIfSilent(*Connection, Now);
      }
    }
    for (const std::string &Address : ToClose) {
      Connections.erase(Address);
    }
  }
}

} // namespace figplank::node
