#include "node/peers.h"

#include "node/boundsocket.h"
#include "node/peerstream.h"

#include <vector>

namespace figplank::node {
namespace {

using framework::monotonic_time;
using framework::readClocks;

/// How often the connections are looked at.
constexpr framework::milliseconds WatchInterval{100};

} // namespace

peer_pool::peer_pool(node_runtime &Node) : Node(Node) {
  Node.Tasks.add(watch());
}

kj::Own<peer_connection> peer_pool::findOpen(const std::string &Address) {
  auto Found = Connections.find(Address);
  if (Found == Connections.end() || Found->second->Dead) {
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
  // Another call may have connected meanwhile.
  Open = findOpen(Address);
  Result.Value =
      Open.get() != nullptr ? kj::mv(Open) : adopt(Address, kj::mv(Stream));
  co_return kj::mv(Result);
}

kj::Own<peer_connection> peer_pool::adopt(const std::string &Address,
                                          kj::Own<kj::AsyncIoStream> Stream) {
  kj::Own<peer_connection> Connection = kj::refcounted<peer_connection>();
  Connection->Address = Address;
  std::optional<bool> Near = isNear(Address);
  Connection->ZoneKnown = Near.has_value();
  Connection->Stream = wrapPeerStream(
      kj::mv(Stream),
      Near.value_or(false) ? stream_coding::Plain : stream_coding::Compressed);
  Connection->Rpc = kj::heap<capnp::TwoPartyClient>(*Connection->Stream);
  Connection->Client = Connection->Rpc->bootstrap().castAs<rpc::Node>();
  auto GiveUp = kj::newPromiseAndFulfiller<void>();
  Connection->GiveUp = kj::mv(GiveUp.fulfiller);
  Connection->GivenUp = GiveUp.promise.fork();
  Connection->LastHeard = readClocks().Monotonic;
  Connection->LastUsed = Connection->LastHeard;
  peer_connection &Adopted = *Connection;
  Connection->Watching = Connection->Rpc->onDisconnect()
                             .then([this, &Adopted]() { giveUp(Adopted); })
                             .eagerlyEvaluate([](kj::Exception &&) {});
  Connections[Address] = kj::addRef(*Connection);
  return Connection;
}

std::optional<bool> peer_pool::isNear(const std::string &Address) const {
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

void peer_pool::giveUp(peer_connection &Connection) {
  if (Connection.Dead) {
    return;
  }
  Connection.Dead = true;
  Connection.GiveUp->fulfill();
}

void peer_pool::dropAll() {
  for (auto &[Address, Connection] : Connections) {
    giveUp(*Connection);
  }
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
    Connection->Proven = true;
    co_return;
  }
  if (!Connection->Dead) {
    Node.Metrics.DeadConnections->Increment();
    framework::logEvent(framework::log_level::Warning, "connection_silent",
                        {{"peer", Connection->Address},
                         {"outstanding", Connection->Outstanding}});
  }
  giveUp(*Connection);
}

void peer_pool::check(peer_connection &Connection, monotonic_time Now) {
  bool Silent = Now - Connection.LastHeard > Settings.SilenceBeforePing;
  if (Connection.Outstanding > 0 && Silent) {
    // The ping's own time-out is shorter than the next silence.
    Connection.LastHeard = Now + Settings.PingTimeout;
    Node.Tasks.add(ping(kj::addRef(Connection)));
  }
}

task<void> peer_pool::watch() {
  while (true) {
    co_await Node.Timer.afterDelay(toDuration(WatchInterval));
    monotonic_time Now = readClocks().Monotonic;
    std::vector<std::string> Closed;
    for (auto &[Address, Connection] : Connections) {
      bool Unused = Connection->Outstanding == 0;
      bool Idle = Unused && Now - Connection->LastUsed > Settings.IdleTimeout;
      // It is opened again in the coding that suits its zone.
      bool Misfit = Unused && !Connection->ZoneKnown && isNear(Address);
      if (Connection->Dead || Idle || Misfit) {
        Closed.push_back(Address);
      } else {
        check(*Connection, Now);
      }
    }
    for (const std::string &Address : Closed) {
      Connections.erase(Address);
    }
  }
}

} // namespace figplank::node
