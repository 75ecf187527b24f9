#include "node/crashmonitor.h"

namespace figplank::node {
namespace {

using framework::log_level;
using framework::logEvent;
using framework::milliseconds;
using framework::readClocks;

/// Wait for other connections of a dying backend server to break.
constexpr milliseconds CrashCollect{5};

} // namespace

task<bool> crash_monitor::confirmCrash(retry::fingerprint Fingerprint) {
  Lost.push_back(Fingerprint);
  if (CrashCheck == nullptr) {
    CrashCheck = kj::Promise<bool>(check()).fork();
  }
  kj::Promise<bool> Branch = KJ_ASSERT_NONNULL(CrashCheck).addBranch();
  bool Crashed = co_await kj::mv(Branch);
  co_return Crashed;
}

task<bool> crash_monitor::check() {
  co_await Node.Timer.afterDelay(toDuration(CrashCollect));
  bool Reached = co_await Backend.probe();
  std::vector<retry::fingerprint> Running = std::move(Lost);
  Lost.clear();
  if (!Reached) {
    if (OutageId == 0 || Backend.connects() != ConnectsAtOutage) {
      OutageId = Node.Random();
      ConnectsAtOutage = Backend.connects();
      Node.Metrics.BackendCrashes->Increment();
      admission::resetToColdStart(Node.Limit);
      Backend.dropIdle();
    }
    retry::crash_report Report =
        retry::makeCrashReport(Node.Suspects, OutageId, Running);
    retry::applyCrashReport(Node.Suspects, Report, readClocks().Monotonic);
    logEvent(log_level::Warning, "backend_crashed",
             {{"running", static_cast<std::uint64_t>(Report.Running.size())},
              {"suspects",
               static_cast<std::uint64_t>(Node.Suspects.Suspects.size())}});
    std::vector<retry::crash_report> Reports{Report};
    co_await Notifier.send(Reports, {});
  }
  // NOTE The maybe is cleared from a later turn, since this coroutine is
  // what it holds.
  Node.Tasks.add(kj::evalLater([this]() { CrashCheck = nullptr; }));
  co_return !Reached;
}

} // namespace figplank::node
