#include "node/runtime.h"

namespace figplank::node {
namespace {

admission::concurrency_limit initialLimit() {
  admission::limit_settings Settings;
  Settings.Slots = 4;
  return admission::makeConcurrencyLimit(Settings,
                                         framework::readClocks().Monotonic);
}

/// The account of clients in a process that may use \p Limit bytes. A long body
/// is held a second time while it goes to another node, so long items get two
/// fifths; the rest is for the configuration, the peers and the program itself.
framework::memory_account makeAccount(std::size_t Limit) {
  framework::memory_account Account;
  Account.MaxLongBytes = Limit / 20 * 8;
  Account.MaxBytes = Limit / 20 * 9;
  return Account;
}

framework::memory_account makeMessageAccount(std::size_t Limit) {
  framework::memory_account Account;
  Account.MaxLongBytes = Account.MaxBytes = Limit / 20 * 8;
  return Account;
}

/// With routes, the platform publishes which backend servers are shutting down,
/// so a node announces a drain only for its own restart.
constexpr framework::milliseconds RouteDrainRetryInterval{1'500};
constexpr framework::milliseconds RouteMaxAvoidTime{800};
constexpr double RouteShedMinUtilisation = 0.7;
/// A chain of calls uses one service many times in sequence and each call may
/// be queued, so the target per call is short.
constexpr framework::milliseconds RouteTargetDelay{4};
constexpr double RouteDecreaseFactor = 0.9;
constexpr framework::milliseconds RouteShareStaleAfter{300};
constexpr double RouteShareGrowthPerSecond = 16.0;
/// Each service is called by many nodes, whose retries add up at it, so the
/// bucket of each node is small.
constexpr double RouteRetryTokens = 3.0;

} // namespace

node_runtime::node_runtime(node_settings InitialSettings,
                           kj::AsyncIoContext &Io)
    : Settings(std::move(InitialSettings)), Io(Io),
      Timer(Io.provider->getTimer()), Network(Io.provider->getNetwork()),
      Memory(makeAccount(Settings.MemoryLimit)),
      Messages(makeMessageAccount(Settings.MemoryLimit)),
      Metrics(makeMetrics()), Home(execution::makeHomeTable(
                                  Settings.Home, framework::readClocks().Wall)),
      Limit(initialLimit()), Shares(admission::makeShareController(
                                 {}, framework::readClocks().Monotonic)),
      Random(std::random_device{}()), Tasks(*this) {
  PauseDetector.LastTick = framework::readClocks().Monotonic;
  ResumedAt = PauseDetector.LastTick - std::chrono::hours(1);
  if (servesRoutes(Settings)) {
    Upstreams.Settings.DrainRetryInterval = RouteDrainRetryInterval;
    Upstreams.Settings.MaxAvoidTime = RouteMaxAvoidTime;
    InitialRetryTokens = {RouteRetryTokens, RouteRetryTokens};
    // The backend server receives requests only through this node.
    Limit.Settings.ShedMinUtilisation = RouteShedMinUtilisation;
    Limit.Settings.DecreaseOnFailures = false;
    Shares.Settings.TargetDelay = RouteTargetDelay;
    Shares.Settings.DecreaseFactor = RouteDecreaseFactor;
    for (admission::chain_shares *LearntShares :
         {&ChainShares, &MinChildShares}) {
      LearntShares->Settings.StaleAfter = RouteShareStaleAfter;
      LearntShares->Settings.GrowthPerSecond = RouteShareGrowthPerSecond;
    }
  }
  OnPause = [](framework::milliseconds) {};
  OnConfigurationChange = []() {};
}

task<bool> awaitMessageRoom(node_runtime &Node,
                            framework::memory_charge &Charge, std::size_t Bytes,
                            framework::monotonic_time Deadline) {
  constexpr framework::milliseconds PollInterval{5};
  while (Bytes > framework::MaxShortBytes && !Charge.growTo(Bytes)) {
    if (framework::readClocks().Monotonic >= Deadline) {
      co_return false;
    }
    co_await Node.Timer.afterDelay(toDuration(PollInterval));
  }
  co_return true;
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
  Load.Limit = admission::concurrencyUnder(Node.RateLimit, Node.Limit.Limit);
  Load.InFlight = Node.Limit.InFlight;
  Load.Queued = static_cast<std::uint32_t>(Node.Queue.Size);
  Load.FailureRate = Node.Limit.FailureRate;
  Load.Draining = Node.Condition.Draining;
  if (Node.BackendAnnouncedLeaving) {
    Load.Leaving = Node.BackendInstance;
  }
  return Load;
}

void detectPause(node_runtime &Node) {
  framework::monotonic_time Now = framework::readClocks().Monotonic;
  framework::milliseconds PauseLength =
      membership::observeTick(Node.PauseDetector, Now);
  if (PauseLength.count() > 0) {
    Node.ResumedAt = Now;
    Node.OnPause(PauseLength);
  }
}

bool hasJustResumed(const node_runtime &Node) {
  constexpr framework::milliseconds ResumeWindow{200};
  return framework::readClocks().Monotonic - Node.ResumedAt < ResumeWindow;
}

kj::Duration toDuration(framework::microseconds Time) {
  return Time.count() <= 0 ? 0 * kj::MICROSECONDS
                           : Time.count() * kj::MICROSECONDS;
}

} // namespace figplank::node
