/// \file
/// What the parts of one node share: the state of every slice and the event
/// loop. Everything here belongs to the loop's thread.
#pragma once

#include "admission/chainshares.h"
#include "admission/concurrencylimit.h"
#include "admission/sharecontroller.h"
#include "admission/workqueue.h"
#include "configuration/store.h"
#include "execution/home.h"
#include "framework/coroutine.h"
#include "membership/pause.h"
#include "membership/readers.h"
#include "node/metrics.h"
#include "node/settings.h"
#include "retry/budget.h"
#include "retry/suspects.h"
#include "routing/upstreams.h"

#include <kj/async-io.h>

#include <functional>
#include <random>

namespace figplank::node {

using framework::task;

/// Whether the node may serve, and what it knows of its own age.
struct node_condition {
  /// A configuration has been received and compared with a peer's or the
  /// platform's.
  bool Ready = false;
  /// Nothing has been heard since a pause; ids may have moved meanwhile.
  bool ViewStale = false;
  /// The process was told to end.
  bool Stopping = false;
  /// No new work is taken for the own backend server.
  bool Draining = false;
};

struct node_runtime : private kj::TaskSet::ErrorHandler {
  node_runtime(node_settings Settings, kj::AsyncIoContext &Io);
  KJ_DISALLOW_COPY(node_runtime);
  virtual ~node_runtime() noexcept(false) = default;

  node_settings Settings;
  kj::AsyncIoContext &Io;
  kj::Timer &Timer;
  kj::Network &Network;

  node_condition Condition;
  node_metrics Metrics;
  configuration::store Store;
  execution::home_table Home;
  admission::concurrency_limit Limit;
  admission::share_controller Shares;
  /// What answers to this node's calls carried, by the called template.
  admission::chain_shares ChainShares;
  /// The least of them for each template that the own backend server runs.
  admission::chain_shares ChildShares;
  admission::work_queue Queue;
  /// Name of the own backend server's incarnation, where instances are
  /// published with their backend servers; empty while it is unknown.
  std::string BackendInstance;
  /// When the own backend server was first known to leave.
  std::optional<framework::monotonic_time> BackendLeavingSince;
  /// Minimum shares of the ranks at the own backend server.
  std::array<double, configuration::RankCount> MinimumShares{};
  retry::suspect_table Suspects;
  /// By service.
  configuration::text_map<retry::retry_token_bucket> RetryTokenBuckets;
  /// What each of them begins with.
  retry::retry_token_bucket InitialRetryTokens;
  routing::upstream_table Upstreams;
  membership::reader_settings ReaderSettings;
  membership::pause_detector Pause;
  framework::monotonic_time ResumedAt;
  /// Called when a pause of the process has ended.
  std::function<void(framework::milliseconds)> OnPause;
  /// Called when new entries of the configuration have been applied.
  std::function<void()> OnConfiguration;
  std::mt19937_64 Random;
  /// Background work; its failures are logged.
  kj::TaskSet Tasks;

  /// A random number in [0, 1).
  double draw();

private:
  void taskFailed(kj::Exception &&Exception) override;
};

/// The load to report on answers.
routing::reported_load localLoad(const node_runtime &Node);

/// Looks whether the process was paused, and treats what it knows as stale if
/// so. Called at ticks, and before deciding on anything that may have waited
/// in the kernel during a pause.
void detectPause(node_runtime &Node);

/// Whether a pause has ended so recently that messages may be from before it.
bool hasJustResumed(const node_runtime &Node);

/// Converts for the timer; negative times count as none.
kj::Duration toDuration(framework::microseconds Time);

} // namespace figplank::node
