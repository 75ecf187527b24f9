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

namespace figplank::node {

/// What one look at the platform brought.
struct platform_update {
  bool Reached = false;
  /// The platform's revision; what is newer is asked for next.
  std::uint64_t Revision = 0;
  std::vector<configuration::published_entry> Entries;
  /// Instances were listed whole at this revision: those that are not among the
  /// entries, and have no newer revision, are gone. 0 for no listing.
  std::uint64_t ListedAt = 0;
  /// Calls that were made to the platform.
  unsigned Calls = 1;
};

/// How a platform is read. The functions are called on the reader's thread,
/// but for Interrupt.
struct platform_source {
  /// Waits for what is newer than \p After and returns it.
  std::function<platform_update(std::uint64_t After)> Read;
  /// Ends a Read that is in progress; for the end of the process.
  std::function<void()> Interrupt;
  /// What is read is never older than what was read before, anywhere: a node
  /// that starts needs either the platform or a peer that is ready, not both.
  bool Linearizable = false;
};

/// The source that docs/OPERATIONS.md describes: `GET /v1/watch`. Calls leave
/// from \p SourceIp unless it is empty.
platform_source watchSource(const std::string &Address,
                            const std::string &SourceIp);

/// Parses a watch answer: `{"revision": N, "entries": [{"key", "revision",
/// "value"}]}` with null for a deleted value. Nothing if it is malformed.
struct watch_answer {
  std::uint64_t Revision = 0;
  std::vector<configuration::published_entry> Entries;
};
std::optional<watch_answer> parseWatchAnswer(const std::string &Body);

class platform_reader {
public:
  /// \p Deliver is called on the reader's thread after each look.
  platform_reader(platform_source Source,
                  std::function<void(platform_update)> Deliver);
  ~platform_reader();
  platform_reader(const platform_reader &) = delete;
  platform_reader &operator=(const platform_reader &) = delete;

  /// Begins or ends reading. A reader that begins asks for what is newer than
  /// \p After.
  void setActive(bool Active, std::uint64_t After);

private:
  void loop();
  bool awaitActive();
  platform_update readOnce();

  platform_source Source;
  std::function<void(platform_update)> Deliver;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Active = false;
  bool Stopping = false;
  std::uint64_t Cursor = 0;
  std::thread Thread;
};

} // namespace figplank::node
