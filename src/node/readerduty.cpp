#include "node/readerduty.h"

namespace figplank::node {
namespace {

using framework::milliseconds;
using framework::readClocks;

/// Interval at which the candidates are ordered anew.
constexpr milliseconds OrderingInterval{500};
/// Interval at which each reader is asked, and the time for its answer.
constexpr milliseconds AskInterval{300};
constexpr milliseconds AskTimeout{600};

} // namespace

reader_duty::reader_duty(node_runtime &Node, peer_pool &Peers)
    : Node(Node), Peers(Peers) {
  Node.Tasks.add(watchLoop());
}

void reader_duty::updateMembers() {
  Members = membership::listNodes(Node.Store.Catalog, Node.Settings.Zone);
  ReaderCount = membership::readersPerZone(
      Node.ReaderSettings, membership::countZones(Node.Store.Catalog));
}

bool reader_duty::isReader(framework::time_now Now) {
  if (Now.Monotonic >= NextOrdering) {
    NextOrdering = Now.Monotonic + OrderingInterval;
    Candidates = membership::orderCandidates(
        Node.ReaderSettings, Members, Node.Settings.RpcAddress, Now.Wall);
  }
  return membership::isReader(Candidates, ReaderCount, Node.Settings.RpcAddress,
                              Health, Now.Monotonic);
}

std::vector<std::string>
reader_duty::listReaders(framework::wall_time Now) const {
  std::vector<std::string> Readers = membership::orderCandidates(
      Node.ReaderSettings, Members, Node.Settings.RpcAddress, Now);
  if (Readers.size() > ReaderCount) {
    Readers.resize(ReaderCount);
  }
  return Readers;
}

task<void> reader_duty::watchLoop() {
  while (true) {
    co_await Node.Timer.afterDelay(toDuration(AskInterval));
    for (const std::string &Address : membership::listWatched(
             Candidates, ReaderCount, Node.Settings.RpcAddress, Health,
             readClocks().Monotonic)) {
      if (Asked.insert(Address).second) {
        Node.Tasks.add(ask(Address));
      }
    }
  }
}

task<void> reader_duty::ask(std::string Address) {
  KJ_DEFER(Asked.erase(Address));
  connection_result Connected = co_await Peers.connect(Address);
  KJ_IF_MAYBE (Connection, Connected.Value) {
    auto Request = KJ_ASSERT_NONNULL((*Connection)->Client).pingRequest();
    auto Called = co_await Peers.call(kj::mv(*Connection), kj::mv(Request),
                                      readClocks().Monotonic + AskTimeout);
    KJ_IF_MAYBE (Response, Called.Value) {
      auto Confirmed = Health.LastConfirmed.find(Address);
      if (!Response->getNotReading() &&
          Confirmed != Health.LastConfirmed.end()) {
        Confirmed->second = readClocks().Monotonic;
      }
    }
  }
}

} // namespace figplank::node
