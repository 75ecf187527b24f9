#include "node/runtime.h"

namespace figplank::node {
namespace {

admission::concurrency_limit initialLimit() {
  admission::limit_settings Settings;
  Settings.Slots = 4;
  return admission::makeConcurrencyLimit(Settings,
                                         framework::readClocks().Monotonic);
}

/// With routes a leaving backend server is published as such, and what a node
/// announces is its own restart.
constexpr framework::milliseconds RoutingNodeRestart{1'500};
constexpr framework::milliseconds RoutingAvoidMost{800};
constexpr double RoutingLeastRunningForShed = 0.7;
/// Chains call one service many times in a row, and each call may wait.
constexpr framework::milliseconds RoutingTargetDelay{4};
constexpr double RoutingDecreaseFactor = 0.9;
constexpr framework::milliseconds RoutingShareStaleAfter{300};
constexpr double RoutingShareGrowth = 16.0;
/// Each service is called by many nodes, which share what it can bear.
constexpr double RoutingAllowanceBurst = 3.0;

} // namespace

node_runtime::node_runtime(node_settings Given, kj::AsyncIoContext &Io)
    : Settings(std::move(Given)), Io(Io), Timer(Io.provider->getTimer()),
      Network(Io.provider->getNetwork()), Metrics(makeMetrics()),
      Home(execution::makeHomeTable(Settings.Home,
                                    framework::readClocks().Wall)),
      Limit(initialLimit()), Shares(admission::makeShareController(
                                 {}, framework::readClocks().Monotonic)),
      Random(std::random_device{}()), Tasks(*this) {
  Pause.LastTick = framework::readClocks().Monotonic;
  ResumedAt = Pause.LastTick - std::chrono::hours(1);
  if (servesRoutes(Settings)) {
    Upstreams.Settings.DrainRetryInterval = RoutingNodeRestart;
    Upstreams.Settings.MaxAvoidTime = RoutingAvoidMost;
    InitialRetryTokens = {RoutingAllowanceBurst, RoutingAllowanceBurst};
    // Nobody else reaches the backend server.
    Limit.Settings.MinRunningForShed = RoutingLeastRunningForShed;
    Limit.Settings.CutByFailures = false;
    Shares.Settings.TargetDelay = RoutingTargetDelay;
    Shares.Settings.DecreaseFactor = RoutingDecreaseFactor;
    for (admission::chain_shares *Learnt : {&ChainShares, &ChildShares}) {
      Learnt->Settings.StaleAfter = RoutingShareStaleAfter;
      Learnt->Settings.GrowthPerSecond = RoutingShareGrowth;
    }
  }
  OnPause = [](framework::milliseconds) {};
  OnConfiguration = []() {};
}

double node_runtime::draw() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(Random);
}

void node_runtime::taskFailed(kj::Exception &&Exception) {
  framework::logEvent(framework::log_level::Error, "task_failed",
                      {{"error", Exception.getDescription().cStr()}});
}

routing::reported_load localLoad(const node_runtime &Node) {
  routing::reported_load Load;
  Load.Limit = Node.Limit.Limit;
  Load.InFlight = Node.Limit.InFlight;
  Load.Queued = static_cast<std::uint32_t>(Node.Queue.Size);
  Load.FailureRate = Node.Limit.FailureRate;
  Load.Draining = Node.Condition.Draining;
  return Load;
}

void detectPause(node_runtime &Node) {
  framework::monotonic_time Now = framework::readClocks().Monotonic;
  framework::milliseconds Paused = membership::observeTick(Node.Pause, Now);
  if (Paused.count() > 0) {
    Node.ResumedAt = Now;
    Node.OnPause(Paused);
  }
}

bool hasJustResumed(const node_runtime &Node) {
  constexpr framework::milliseconds Recently{200};
  return framework::readClocks().Monotonic - Node.ResumedAt < Recently;
}

kj::Duration toDuration(framework::microseconds Time) {
  return Time.count() <= 0 ? 0 * kj::MICROSECONDS
                           : Time.count() * kj::MICROSECONDS;
}

} // namespace figplank::node
