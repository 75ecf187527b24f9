/// \file
/// Stand-in of the platform's configuration service: readers read and watch,
/// operators publish, and it can be down, slow or stale. It counts each call,
/// a waiting watch as one.
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
  /// Answers 503.
  Down,
  /// Answers with the state at the time of the change to this mode.
  Stale,
};

class platform {
public:
  /// Serves on \p Address, `IP:PORT`.
  explicit platform(const std::string &Address);
  ~platform();
  platform(const platform &) = delete;
  platform &operator=(const platform &) = delete;

  /// Publishes a value, or with an empty one deletes the key. Returns the
  /// revision.
  std::uint64_t publish(const std::string &Key, const std::string &Value);

  void setMode(platform_mode Mode);
  /// Refuses calls from sources that begin with one of \p Prefixes.
  void block(const std::vector<std::string> &Prefixes);
  std::uint64_t calls() const { return Calls; }
  std::uint64_t revision() const;

private:
  std::string watch(const std::string &Source, std::uint64_t After,
                    std::uint64_t WaitMs);
  bool isBlocked(const std::string &Source) const;
  std::string formatNewer(std::uint64_t After) const;
  std::uint64_t visibleRevision() const;

  mutable std::mutex Mutex;
  std::condition_variable Changed;
  platform_mode Mode = platform_mode::Up;
  bool Stopping = false;
  std::vector<std::string> Blocked;
  std::uint64_t Revision = 0;
  std::uint64_t StaleRevision = 0;
  std::map<std::string, configuration::published_entry> Entries;
  /// All versions by revision, for the stale mode.
  std::map<std::uint64_t, configuration::published_entry> History;
  std::atomic<std::uint64_t> Calls{0};
  std::unique_ptr<httplib::Server> Server;
  std::thread Thread;
};

} // namespace figplank::standins
