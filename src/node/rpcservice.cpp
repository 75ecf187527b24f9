#include "node/rpcservice.h"

#include "node/wire.h"

#include <algorithm>

namespace figplank::node {
namespace {

using framework::outcome;
using framework::readClocks;
using framework::refusal_reason;

} // namespace

rpc_service::rpc_service(node_runtime &Node, upstream_service &Upstream,
                         disseminator &Dissemination)
    : Node(Node), Upstream(Upstream), Dissemination(Dissemination) {}

kj::Promise<void> rpc_service::run(RunContext Context) {
  // Cancelling the call cancels an idempotent request. A non-idempotent run is
  // owned by the home of its id and continues.
  Context.allowCancellation();
  return runCall(Context);
}

task<void> rpc_service::runCall(RunContext Context) {
  rpc::WorkRequest::Reader Message = Context.getParams().getRequest();
  std::uint64_t Attempt = Message.getAttempt();
  auto Request = readRequest(Message, readClocks().Monotonic);
  work_answer Answer;
  if (Request) {
    Context.releaseParams();
    Answer = co_await Upstream.execute(kj::mv(*Request));
  } else {
    Node.Metrics.MalformedMessages->Increment();
    Answer = makeRefusal(outcome::Unknown, refusal_reason::MalformedRequest);
  }
  writeAnswer(Context.getResults().initAnswer(), Answer, Attempt);
}

kj::Promise<void> rpc_service::handOver(HandOverContext Context) {
  return handOverCall(Context);
}

task<void> rpc_service::handOverCall(HandOverContext Context) {
  capnp::Data::Reader Bytes = Context.getParams().getId();
  auto Id = execution::requestIdFromBytes(
      {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()});
  std::string NewHome = Context.getParams().getAsker().cStr();
  std::vector<std::string> AskedHomes;
  for (capnp::Text::Reader Home : Context.getParams().getAsked()) {
    AskedHomes.emplace_back(Home.cStr());
  }
  handover_answer Answer;
  if (Id) {
    Answer = co_await Upstream.Home.handOver(*Id, NewHome, AskedHomes);
  } else {
    Node.Metrics.MalformedMessages->Increment();
  }
  writeHandover(Context.getResults().initRecord(), Answer);
}

kj::Promise<void> rpc_service::push(PushContext Context) {
  auto Params = Context.getParams();
  Dissemination.receivePush(readEntries(Params.getEntries()), Params.getHops());
  return kj::READY_NOW;
}

kj::Promise<void> rpc_service::exchange(ExchangeContext Context) {
  auto Params = Context.getParams();
  peer_digest PeerDigest;
  PeerDigest.Highest = Params.getHighest();
  PeerDigest.Summary = Params.getSummary();
  auto Buckets = Params.getBuckets();
  PeerDigest.HasBuckets = Buckets.size() == configuration::DigestBucketCount;
  for (unsigned I = 0; PeerDigest.HasBuckets && I < Buckets.size(); ++I) {
    PeerDigest.Buckets[I] = Buckets[I];
  }
  exchange_reply Reply = Dissemination.answerExchange(PeerDigest);
  auto Results = Context.getResults();
  writeEntries(Results.initEntries(static_cast<unsigned>(Reply.Entries.size())),
               Reply.Entries);
  Results.setHighest(Reply.Highest);
  Results.setSummary(Reply.Summary);
  Results.setReady(Reply.Ready);
  return kj::READY_NOW;
}

kj::Promise<void> rpc_service::notify(NotifyContext Context) {
  constexpr unsigned MaxNotices = 1000;
  auto Params = Context.getParams();
  std::vector<retry::crash_report> Reports;
  auto Crashes = Params.getCrashes();
  for (unsigned I = 0; I < std::min(Crashes.size(), MaxNotices); ++I) {
    Reports.push_back(readCrashReport(Crashes[I]));
  }
  std::vector<std::string> Draining;
  auto Addresses = Params.getDraining();
  for (unsigned I = 0; I < std::min(Addresses.size(), MaxNotices); ++I) {
    Draining.emplace_back(Addresses[I].cStr());
  }
  Upstream.Notifier.apply(Reports, Draining);
  return kj::READY_NOW;
}

kj::Promise<void> rpc_service::ping(PingContext Context) {
  Context.getResults().setNotReading(!Dissemination.readsSuccessfully());
  return kj::READY_NOW;
}

} // namespace figplank::node
