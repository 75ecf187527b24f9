/// \file
/// TCP relay in front of a server. Tests can close, block or stall the
/// connections through it.
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
  /// Accepts connections on \p Address and forwards them to \p Target.
  relay(loop_thread &Loop, std::string Address, std::string Target);
  ~relay();
  relay(const relay &) = delete;
  relay &operator=(const relay &) = delete;

  /// Closes the listening port and all connections until open() is called.
  void cut();
  void open();
  /// Closes all connections from source addresses that begin with one of
  /// \p Prefixes, such as `127.0.2.`, and closes new ones on acceptance.
  void block(const std::vector<std::string> &Prefixes);
  /// Closes all connections; new ones are forwarded.
  void closeConnections();
  /// Stops forwarding on all open connections but leaves them open. New
  /// connections are forwarded.
  void silence();
  /// Like silence(), and new connections are accepted without being forwarded
  /// until endSilence() is called. They stay silent after it.
  void beginSilence();
  void endSilence();

private:
  struct forwarded_connection {
    kj::Own<kj::AsyncIoStream> ClientStream;
    kj::Own<kj::AsyncIoStream> TargetStream;
    kj::Maybe<kj::Promise<void>> Forwarding;
    std::string Source;
    bool Ended = false;
  };

  bool isBlocked(const std::string &Source) const;

  task<void> acceptLoop();
  task<void> forward(kj::Own<kj::AsyncIoStream> ClientStream);

  loop_thread &Loop;
  std::string Address;
  std::string Target;
  kj::Own<kj::NetworkAddress> TargetAddress;
  kj::Own<kj::ConnectionReceiver> Listener;
  kj::Maybe<kj::Promise<void>> Accepting;
  std::vector<std::unique_ptr<forwarded_connection>> Connections;
  std::vector<std::string> BlockedPrefixes;
  bool Silent = false;
};

} // namespace figplank::standins
