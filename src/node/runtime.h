/// \file
/// State shared by the components of one node, and the event loop that they run
/// on. All of it is accessed only from the event loop's thread.
#pragma once

#include "admission/chainshares.h"
#include "admission/concurrencylimit.h"
#include "admission/ratelimit.h"
#include "admission/sharecontroller.h"
#include "admission/workqueue.h"
#include "configuration/store.h"
#include "execution/home.h"
#include "framework/coroutine.h"
#include "framework/memoryaccount.h"
#include "membership/pause.h"
#include "membership/readers.h"
#include "node/metrics.h"
#include "node/settings.h"
#include "retry/budget.h"
#include "retry/suspects.h"
#include "routing/upstreams.h"

#include <kj/async-io.h>

#include <functional>
#include <optional>
#include <random>

namespace figplank::node {

using framework::task;

/// Whether the node may serve requests and how current its data is.
struct node_condition {
  /// The node holds a configuration and has compared it with that of a peer or
  /// of the platform.
  bool Ready = false;
  /// Neither a peer nor the platform has answered since the process was paused,
  /// and request ids may have been assigned to other nodes during the pause.
  bool ViewStale = false;
  /// The process has received a termination signal.
  bool Stopping = false;
  /// The node refuses new requests for its backend server.
  bool Draining = false;
  /// The node refuses the requests of callers, as it is about to exit.
  bool RefusesCallers = false;
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
  /// What clients hold, and what is held for them.
  framework::memory_account Memory;
  /// Copies of long bodies in messages to other nodes.
  framework::memory_account Messages;
  /// When the node will end its requests and exit; set by a termination signal.
  std::optional<framework::monotonic_time> StopTime;
  node_metrics Metrics;
  configuration::store Store;
  execution::home_table Home;
  admission::concurrency_limit Limit;
  admission::rate_limit RateLimit;
  admission::share_controller Shares;
  /// Shares that answers to this node's calls reported, by called template.
  admission::chain_shares ChainShares;
  /// For each template that this node's backend server runs, the minimum of the
  /// shares reported for the calls that it makes.
  admission::chain_shares MinChildShares;
  admission::work_queue Queue;
  /// Name of the instance that runs at this node's backend address, where the
  /// configuration lists instances with their backend servers. Empty while
  /// unknown.
  routing::incarnation BackendInstance;
  /// Whether that instance has said in an answer that it leaves.
  bool BackendAnnouncedLeaving = false;
  /// When this node first learnt that its backend server is shutting down or no
  /// longer listed.
  std::optional<framework::monotonic_time> BackendLeavingSince;
  /// Minimum share of each rank at this node's backend server.
  std::array<double, configuration::RankCount> MinimumShares{};
  retry::suspect_table Suspects;
  /// By service.
  configuration::text_map<retry::retry_token_bucket> RetryTokenBuckets;
  /// Initial state of each bucket in RetryTokenBuckets.
  retry::retry_token_bucket InitialRetryTokens;
  routing::upstream_table Upstreams;
  membership::reader_settings ReaderSettings;
  membership::pause_detector PauseDetector;
  framework::monotonic_time ResumedAt;
  /// Called with the length of each detected pause of the process.
  std::function<void(framework::milliseconds)> OnPause;
  /// Called after new configuration entries have been applied.
  std::function<void()> OnConfigurationChange;
  std::mt19937_64 Random;
  /// Background tasks. An exception that ends one is logged.
  kj::TaskSet Tasks;

  /// A random number in [0, 1).
  double draw();

private:
  void taskFailed(kj::Exception &&Exception) override;
};

/// The load of this node's backend server, as reported with each answer.
routing::reported_load localLoad(const node_runtime &Node);

/// Checks whether the process was paused and calls OnPause if it was. Called at
/// each tick, and before handling a message that may have waited in a kernel
/// buffer during a pause.
void detectPause(node_runtime &Node);

/// Charges \p Charge, of Node.Messages, for a body of \p Bytes bytes that is
/// copied into a message. Waits for room if the body is long. Returns false if
/// there was none by \p Deadline.
task<bool> awaitMessageRoom(node_runtime &Node,
                            framework::memory_charge &Charge, std::size_t Bytes,
                            framework::monotonic_time Deadline);

/// Whether a pause ended so recently that a received message may have been sent
/// before it.
bool hasJustResumed(const node_runtime &Node);

/// Converts \p Time for KJ's timer. Negative times become zero.
kj::Duration toDuration(framework::microseconds Time);

} // namespace figplank::node
