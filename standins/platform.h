/// \file
/// Stand-in for the platform's configuration service. Nodes watch it for
/// changes by long polling, operators publish values, and tests can make it
/// unavailable or stale. Every watch request is counted once, however long it
/// waits.
#pragma once

#include "configuration/configurationtypes.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace httplib {
class Server;
}

namespace figplank::standins {

enum class platform_mode : std::uint8_t {
  Up,
  /// Responds 503 to every watch.
  Down,
  /// Serves the entries as of the switch to this mode.
  Stale,
};

class platform {
public:
  /// Listens on \p Address, `IP:PORT`.
  explicit platform(const std::string &Address);
  ~platform();
  platform(const platform &) = delete;
  platform &operator=(const platform &) = delete;

  /// Publishes \p Value under \p Key; an empty value deletes the key. Returns
  /// the revision of the change.
  std::uint64_t publish(const std::string &Key, const std::string &Value);

  void setMode(platform_mode Mode);
  /// Responds 503 to watches from source addresses that begin with one of
  /// \p Prefixes.
  void block(const std::vector<std::string> &Prefixes);
  std::uint64_t calls() const { return Calls; }
  std::uint64_t revision() const;

private:
  std::string watch(const std::string &Source, std::uint64_t After,
                    std::uint64_t WaitMs);
  bool isBlocked(const std::string &Source) const;
  std::string formatEntriesAfter(std::uint64_t After) const;
  std::uint64_t visibleRevision() const;

  mutable std::mutex Mutex;
  std::condition_variable StateChanged;
  platform_mode Mode = platform_mode::Up;
  bool Stopping = false;
  std::vector<std::string> BlockedPrefixes;
  std::uint64_t Revision = 0;
  std::uint64_t StaleRevision = 0;
  std::map<std::string, configuration::published_entry> Entries;
  /// Every published version by revision; the stale mode serves from it.
  std::map<std::uint64_t, configuration::published_entry> History;
  std::atomic<std::uint64_t> Calls{0};
  std::unique_ptr<httplib::Server> Server;
  std::thread Thread;
};

} // namespace figplank::standins
