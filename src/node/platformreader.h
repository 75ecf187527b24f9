/// \file
/// The thread that reads and watches the platform while this node is selected
/// as a reader.
#pragma once

#include "configuration/configurationtypes.h"
#include "framework/enumnames.h"
#include "membership/presence.h"
#include "membership/readtiming.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace httplib {
class Result;
}

namespace figplank::node {

/// Why a read of the platform returned nothing.
enum class read_failure : std::uint8_t {
  /// No connection could be opened.
  NoConnection,
  /// The connection stayed silent until the time for the answer was over.
  NoAnswer,
  /// The connection was closed before that.
  ConnectionClosed,
  /// The platform answered with a failure.
  Refused,
  /// The platform turned the call away because there were too many.
  RateLimited,
  /// The answer could not be read.
  Malformed,
};

inline constexpr std::array<framework::enum_name<read_failure>, 6>
    ReadFailureNames{{
        {read_failure::NoConnection, "no_connection"},
        {read_failure::NoAnswer, "no_answer"},
        {read_failure::ConnectionClosed, "connection_closed"},
        {read_failure::Refused, "refused"},
        {read_failure::RateLimited, "rate_limited"},
        {read_failure::Malformed, "malformed"},
    }};

/// Result of one read of the platform.
struct platform_update {
  bool Reached = false;
  /// Only meaningful if the platform was not reached.
  read_failure Failure = read_failure::Malformed;
  /// The platform's revision. The next read asks for newer entries.
  std::uint64_t Revision = 0;
  std::vector<configuration::published_entry> Entries;
  /// Revision of a complete listing of the instances, 0 without a listing. An
  /// instance that is missing from Entries and has no newer revision has been
  /// removed.
  std::uint64_t ListedAt = 0;
  /// Number of calls made to the platform for this read.
  unsigned Calls = 1;
  /// When the read ended.
  framework::monotonic_time ReadAt;
};

/// Whether the platform answered, if only to say that it is asked too often.
bool isPresent(const platform_update &Update);

/// What a read of the platform asks for.
struct read_request {
  /// The revision after which entries are new.
  std::uint64_t After = 0;
  membership::read_times Times;
};

/// The calls by which a platform is read. Read is called on the reader's
/// thread, Interrupt on another one.
struct platform_source {
  /// Waits for new entries and returns them.
  std::function<platform_update(const read_request &Request)> Read;
  /// Cancels a Read in progress when the process exits. Called repeatedly until
  /// Read has returned.
  std::function<void()> Interrupt;
  /// Whether reads are linearizable: none returns older entries than an earlier
  /// read by any node. A starting node then needs an answer from either the
  /// platform or a ready peer, not from both.
  bool Linearizable = false;
  /// How the platform's entries of instances expire; by default never.
  membership::entry_expiry Expiry;
};

/// The source that reads the platform by `GET /v1/watch`, see
/// docs/OPERATIONS.md. Connections are bound to \p SourceIp unless it is empty.
platform_source watchSource(const std::string &Address,
                            const std::string &SourceIp);

/// Body of a watch answer.
struct watch_answer {
  std::uint64_t Revision = 0;
  std::vector<configuration::published_entry> Entries;
};

/// Parses `{"revision": N, "entries": [{"key", "revision", "value"}]}`, where
/// the value is null for a deleted entry. Returns nothing if \p Body is
/// malformed.
std::optional<watch_answer> parseWatchAnswer(const std::string &Body);

/// Why a call ended without the answer that was asked for. It took \p Waited;
/// the connection may be silent for \p MaxSilence.
read_failure failureOf(const httplib::Result &Result,
                       framework::milliseconds Waited,
                       framework::milliseconds MaxSilence);

class platform_reader {
public:
  /// \p Deliver is called on the reader's thread after each read.
  platform_reader(platform_source Source,
                  std::function<void(platform_update)> Deliver);
  ~platform_reader();
  platform_reader(const platform_reader &) = delete;
  platform_reader &operator=(const platform_reader &) = delete;

  /// Starts or stops reading. On a start, the first read asks for entries newer
  /// than revision \p After.
  void setActive(bool Active, std::uint64_t After);

private:
  void readLoop();
  /// Blocks until reading is active. Returns false if the thread must end.
  bool awaitActive();
  platform_update readOnce();

  platform_source Source;
  std::function<void(platform_update)> Deliver;
  std::mutex Mutex;
  std::condition_variable StateChanged;
  bool Active = false;
  bool Stopping = false;
  /// Set when the thread reads no more.
  bool Finished = false;
  /// Revision after which the next read begins.
  std::uint64_t Cursor = 0;
  membership::read_timing_settings TimingSettings;
  membership::read_timing Timing;
  std::minstd_rand Random{std::random_device{}()};
  std::thread Thread;
};

} // namespace figplank::node
