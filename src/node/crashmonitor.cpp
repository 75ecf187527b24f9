#include "node/crashmonitor.h"

namespace figplank::node {
namespace {

using framework::log_level;
using framework::logEvent;
using framework::milliseconds;
using framework::readClocks;

/// Wait before the check, so that losses of other connections to a crashed
/// backend server are reported together.
constexpr milliseconds LossCollectionDelay{5};

} // namespace

task<bool> crash_monitor::confirmCrash(retry::fingerprint Fingerprint) {
  LostFingerprints.push_back(Fingerprint);
  if (CrashCheck == nullptr) {
    CrashCheck = kj::Promise<bool>(checkBackend()).fork();
  }
  kj::Promise<bool> Branch = KJ_ASSERT_NONNULL(CrashCheck).addBranch();
  bool Crashed = co_await kj::mv(Branch);
  co_return Crashed;
}

task<bool> crash_monitor::checkBackend() {
  co_await Node.Timer.afterDelay(toDuration(LossCollectionDelay));
  bool Reachable = co_await Backend.probe();
  std::vector<retry::fingerprint> LostRuns = std::move(LostFingerprints);
  LostFingerprints.clear();
  if (!Reachable) {
    if (OutageId == 0 || Backend.connectionsOpened() != ConnectionsAtOutage) {
      OutageId = Node.Random();
      ConnectionsAtOutage = Backend.connectionsOpened();
      Node.Metrics.BackendCrashes->Increment();
      admission::resetToColdStart(Node.Limit);
      Backend.closeIdleConnections();
    }
    retry::crash_report Report =
        retry::makeCrashReport(Node.Suspects, OutageId, LostRuns);
    retry::applyCrashReport(Node.Suspects, Report, readClocks().Monotonic);
    logEvent(log_level::Warning, "backend_crashed",
             {{"running",
               static_cast<std::uint64_t>(Report.RunningFingerprints.size())},
              {"suspects",
               static_cast<std::uint64_t>(Node.Suspects.Suspects.size())}});
    std::vector<retry::crash_report> Reports{Report};
    co_await Notifier.send(Reports, {});
  }
  // NOTE CrashCheck holds this coroutine, so it is cleared in a later turn of
  // the event loop.
  Node.Tasks.add(kj::evalLater([this]() { CrashCheck = nullptr; }));
  co_return !Reachable;
}

} // namespace figplank::node
