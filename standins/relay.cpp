#include "standins/relay.h"

#include <arpa/inet.h>

#include <algorithm>

namespace figplank::standins {
namespace {

std::string sourceOf(kj::AsyncIoStream &Stream) {
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
          Port = Parsed->listen();
          Accepting = kj::Promise<void>(acceptLoop())
                          .eagerlyEvaluate([](kj::Exception &&) {});
        });
  });
}

void relay::cut() {
  Loop.run([this]() {
    Accepting = nullptr;
    Port = nullptr;
    Pipes.clear();
  });
}

void relay::silence() {
  Loop.run([this]() {
    for (std::unique_ptr<pipe> &Pipe : Pipes) {
      Pipe->Passing = nullptr;
    }
  });
}

void relay::block(const std::vector<std::string> &Prefixes) {
  Loop.run([&]() {
    Blocked = Prefixes;
    std::erase_if(Pipes, [this](const std::unique_ptr<pipe> &Pipe) {
      return isBlocked(Pipe->Source);
    });
  });
}

bool relay::isBlocked(const std::string &Source) const {
  return std::any_of(
      Blocked.begin(), Blocked.end(),
      [&](const std::string &Prefix) { return Source.starts_with(Prefix); });
}

task<void> relay::acceptLoop() {
  while (true) {
    kj::Own<kj::AsyncIoStream> Near = co_await Port->accept();
    co_await connect(kj::mv(Near));
  }
}

task<void> relay::connect(kj::Own<kj::AsyncIoStream> Near) {
  std::erase_if(Pipes,
                [](const std::unique_ptr<pipe> &Pipe) { return Pipe->Ended; });
  auto Pipe = std::make_unique<pipe>();
  Pipe->Near = kj::mv(Near);
  Pipe->Source = sourceOf(*Pipe->Near);
  if (isBlocked(Pipe->Source)) {
    co_return;
  }
  bool Connected = false;
  try {
    Pipe->Far = co_await TargetAddress->connect();
    Connected = true;
  } catch (const kj::Exception &) {
    Connected = false;
  }
  if (!Connected) {
    co_return;
  }
  pipe *Raw = Pipe.get();
  auto End = [Raw]() { Raw->Ended = true; };
  Pipe->Passing =
      Pipe->Near->pumpTo(*Pipe->Far)
          .ignoreResult()
          .exclusiveJoin(Pipe->Far->pumpTo(*Pipe->Near).ignoreResult())
          .then([Raw, End]() {
            Raw->Near->shutdownWrite();
            Raw->Far->shutdownWrite();
            End();
          })
          .eagerlyEvaluate([End](kj::Exception &&) { End(); });
  Pipes.push_back(std::move(Pipe));
}

} // namespace figplank::standins
