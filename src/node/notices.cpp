#include "node/notices.h"

#include "node/wire.h"

namespace figplank::node {
namespace {

using framework::log_level;
using framework::logEvent;
using framework::milliseconds;
using framework::monotonic_time;
using framework::readClocks;

constexpr milliseconds NoticeTimeout{300};

} // namespace

task<void> service_notifier::send(std::vector<retry::crash_report> Reports,
                                  std::vector<std::string> Draining) {
  auto Sends = kj::heapArrayBuilder<kj::Promise<void>>(1024);
  auto Listed = Node.Store.Catalog.Instances.find(Node.Settings.Service);
  if (Listed != Node.Store.Catalog.Instances.end()) {
    for (const auto &[Name, Instance] : Listed->second) {
      bool Full = Sends.size() == Sends.capacity();
      if (Instance.Address != Node.Settings.RpcAddress && !Full) {
        Sends.add(sendTo(Instance.Address, Reports, Draining));
      }
    }
  }
  co_await kj::joinPromises(Sends.finish());
}

task<void> service_notifier::sendTo(std::string Address,
                                    std::vector<retry::crash_report> Reports,
                                    std::vector<std::string> Draining) {
  connection_result Connected = co_await Peers.connect(Address);
  KJ_IF_MAYBE (Connection, Connected.Value) {
    auto Request = KJ_ASSERT_NONNULL((*Connection)->Client).notifyRequest();
    auto Crashes = Request.initCrashes(static_cast<unsigned>(Reports.size()));
    for (unsigned I = 0; I < Reports.size(); ++I) {
      writeCrashReport(Crashes[I], Reports[I]);
    }
    auto Addresses =
        Request.initDraining(static_cast<unsigned>(Draining.size()));
    for (unsigned I = 0; I < Draining.size(); ++I) {
      Addresses.set(I, Draining[I].c_str());
    }
    auto Called = co_await Peers.call(kj::mv(*Connection), kj::mv(Request),
                                      readClocks().Monotonic + NoticeTimeout);
    if (Called.Value != nullptr) {
      co_return;
    }
  }
  logEvent(log_level::Info, "notice_not_delivered", {{"address", Address}});
}

void service_notifier::excludeSelf() {
  routing::recordDrain(Node.Upstreams, Node.Settings.RpcAddress,
                       readClocks().Monotonic);
}

task<void> service_notifier::announceDrain() {
  std::vector<std::string> Draining{Node.Settings.RpcAddress};
  co_await send({}, Draining);
}

void service_notifier::apply(const std::vector<retry::crash_report> &Reports,
                             const std::vector<std::string> &Draining) {
  monotonic_time Now = readClocks().Monotonic;
  for (const retry::crash_report &Report : Reports) {
    retry::applyCrashReport(Node.Suspects, Report, Now);
  }
  for (const std::string &Address : Draining) {
    routing::recordDrain(Node.Upstreams, Address, Now);
  }
}

} // namespace figplank::node
