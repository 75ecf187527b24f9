#include "standins/relay.h"

#include <arpa/inet.h>

#include <algorithm>

namespace figplank::standins {
namespace {

std::string peerAddress(kj::AsyncIoStream &Stream) {
  sockaddr_in Address{};
  kj::uint Length = sizeof Address;
  Stream.getpeername(reinterpret_cast<sockaddr *>(&Address), &Length);
  char Text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &Address.sin_addr, Text, sizeof Text);
  return Text;
}

} // namespace

relay::relay(loop_thread &Loop, std::string Address, std::string Target)
    : Loop(Loop), Address(std::move(Address)), Target(std::move(Target)) {
  Loop.await([this]() -> kj::Promise<void> {
    return this->Loop.io()
        .provider->getNetwork()
        .parseAddress(this->Target.c_str())
        .then([this](kj::Own<kj::NetworkAddress> Parsed) {
          TargetAddress = kj::mv(Parsed);
        });
  });
  open();
}

relay::~relay() {
  cut();
  Loop.run([this]() { TargetAddress = nullptr; });
}

void relay::open() {
  Loop.await([this]() -> kj::Promise<void> {
    return Loop.io()
        .provider->getNetwork()
        .parseAddress(Address.c_str())
        .then([this](kj::Own<kj::NetworkAddress> Parsed) {
          Listener = Parsed->listen();
          Accepting = kj::Promise<void>(acceptLoop())
                          .eagerlyEvaluate([](kj::Exception &&) {});
        });
  });
}

void relay::cut() {
  Loop.run([this]() {
    Accepting = nullptr;
    Listener = nullptr;
    Connections.clear();
  });
}

void relay::closeConnections() {
  Loop.run([this]() { Connections.clear(); });
}

void relay::silence() {
  Loop.run([this]() {
    for (std::unique_ptr<forwarded_connection> &Connection : Connections) {
      Connection->Forwarding = nullptr;
    }
  });
}

void relay::beginSilence() {
  silence();
  Loop.run([this]() { Silent = true; });
}

void relay::endSilence() {
  Loop.run([this]() { Silent = false; });
}

void relay::block(const std::vector<std::string> &Prefixes) {
  Loop.run([&]() {
    BlockedPrefixes = Prefixes;
    std::erase_if(
        Connections,
        [this](const std::unique_ptr<forwarded_connection> &Connection) {
          return isBlocked(Connection->Source);
        });
  });
}

bool relay::isBlocked(const std::string &Source) const {
  return std::any_of(
      BlockedPrefixes.begin(), BlockedPrefixes.end(),
      [&](const std::string &Prefix) { return Source.starts_with(Prefix); });
}

task<void> relay::acceptLoop() {
  while (true) {
    kj::Own<kj::AsyncIoStream> ClientStream = co_await Listener->accept();
    co_await forward(kj::mv(ClientStream));
  }
}

task<void> relay::forward(kj::Own<kj::AsyncIoStream> ClientStream) {
  std::erase_if(Connections,
                [](const std::unique_ptr<forwarded_connection> &Connection) {
                  return Connection->Ended;
                });
  auto Connection = std::make_unique<forwarded_connection>();
  Connection->ClientStream = kj::mv(ClientStream);
  Connection->Source = peerAddress(*Connection->ClientStream);
  if (isBlocked(Connection->Source)) {
    co_return;
  }
  if (Silent) {
    Connections.push_back(std::move(Connection));
    co_return;
  }
  bool Connected = false;
  try {
    Connection->TargetStream = co_await TargetAddress->connect();
    Connected = true;
  } catch (const kj::Exception &) {
    Connected = false;
  }
  if (!Connected) {
    co_return;
  }
  forwarded_connection *ConnectionPointer = Connection.get();
  auto MarkEnded = [ConnectionPointer]() { ConnectionPointer->Ended = true; };
  Connection->Forwarding =
      Connection->ClientStream->pumpTo(*Connection->TargetStream)
          .ignoreResult()
          .exclusiveJoin(
              Connection->TargetStream->pumpTo(*Connection->ClientStream)
                  .ignoreResult())
          .then([ConnectionPointer, MarkEnded]() {
            ConnectionPointer->ClientStream->shutdownWrite();
            ConnectionPointer->TargetStream->shutdownWrite();
            MarkEnded();
          })
          .eagerlyEvaluate([MarkEnded](kj::Exception &&) { MarkEnded(); });
  Connections.push_back(std::move(Connection));
}

} // namespace figplank::standins
