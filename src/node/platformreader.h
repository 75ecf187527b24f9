/// \file
/// A thread that reads and watches the platform while this node is a reader.
#pragma once

#include "configuration/configurationtypes.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace httplib {
class Client;
}

namespace figplank::node {

/// What one call to the platform brought.
struct platform_news {
  bool Reached = false;
  std::vector<configuration::published_entry> Entries;
};

/// Parses a watch answer: `{"revision": N, "entries": [{"key", "revision",
/// "value"}]}` with null for a deleted value. Nothing if it is malformed.
struct watch_answer {
  std::uint64_t Revision = 0;
  std::vector<configuration::published_entry> Entries;
};
std::optional<watch_answer> parseWatchAnswer(const std::string &Body);

class platform_reader {
public:
  /// Calls leave from \p SourceIp unless it is empty. \p Deliver is called on
  /// the reader's thread after each call to the platform.
  platform_reader(std::string Address, const std::string &SourceIp,
                  std::function<void(platform_news)> Deliver);
  ~platform_reader();
  platform_reader(const platform_reader &) = delete;
  platform_reader &operator=(const platform_reader &) = delete;

  /// Begins or ends reading. A reader that begins asks for what is newer than
  /// \p After.
  void setActive(bool Active, std::uint64_t After);

private:
  void loop();
  bool awaitActive();
  platform_news readOnce();

  std::string Address;
  std::function<void(platform_news)> Deliver;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Active = false;
  bool Stopping = false;
  std::uint64_t Cursor = 0;
  std::unique_ptr<httplib::Client> Client;
  std::thread Thread;
};

} // namespace figplank::node
