/// \file
/// A TCP relay between two addresses that can cut, hold or silently drop.
#pragma once

#include "framework/coroutine.h"
#include "standins/loopthread.h"

#include <kj/async-io.h>

#include <memory>
#include <string>
#include <vector>

namespace figplank::standins {

using framework::task;

class relay {
public:
  /// Accepts on \p Address and passes on to \p Target.
  relay(loop_thread &Loop, std::string Address, std::string Target);
  ~relay();
  relay(const relay &) = delete;
  relay &operator=(const relay &) = delete;

  /// Closes all connections and refuses new ones until opened again.
  void cut();
  void open();
  /// Closes connections from sources that begin with one of \p Prefixes, such
  /// as `127.0.2.`, and refuses new ones from them.
  void block(const std::vector<std::string> &Prefixes);
  /// Open connections pass nothing on and stay open; new ones work.
  void silence();

private:
  struct pipe {
    kj::Own<kj::AsyncIoStream> Near;
    kj::Own<kj::AsyncIoStream> Far;
    kj::Maybe<kj::Promise<void>> Passing;
    std::string Source;
    bool Ended = false;
  };

  bool isBlocked(const std::string &Source) const;

  task<void> acceptLoop();
  task<void> connect(kj::Own<kj::AsyncIoStream> Near);

  loop_thread &Loop;
  std::string Address;
  std::string Target;
  kj::Own<kj::NetworkAddress> TargetAddress;
  kj::Own<kj::ConnectionReceiver> Port;
  kj::Maybe<kj::Promise<void>> Accepting;
  std::vector<std::unique_ptr<pipe>> Pipes;
  std::vector<std::string> Blocked;
};

} // namespace figplank::standins
