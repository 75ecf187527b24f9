#include "node/rpcservice.h"

#include "node/wire.h"

#include <algorithm>

namespace figplank::node {
namespace {

using framework::outcome;
using framework::readClocks;
using framework::refusal_reason;

/// Holds the charge for a message until its receiver has taken it.
class answer_receipt final : public rpc::Receipt::Server {
public:
  explicit answer_receipt(framework::memory_charge Charge)
      : Charge(std::move(Charge)) {}

private:
  framework::memory_charge Charge;
};

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
  rpc::WorkRequest::Reader Received = Context.getParams().getRequest();
  std::uint64_t Attempt = Received.getAttempt();
  bool HasRoom = true;
  auto Request =
      readRequest(Received, readClocks().Monotonic, Node.Memory, HasRoom);
  const framework::monotonic_time Deadline =
      Request ? Request->Deadline : framework::monotonic_time();
  work_answer Answer;
  if (Request && !HasRoom) {
    // Another node may have room. Its queue is full as well, in a way, and
    // nodes of earlier builds don't know the reason memory_short.
    Answer = makeRefusal(refusalOutcome(*Request), refusal_reason::QueueFull);
    Answer.MayRetry = true;
    countRefusal(Node.Metrics.LocalRefusals, refusal_reason::MemoryShort);
  } else if (Request) {
    Context.releaseParams();
    Answer = co_await Upstream.execute(kj::mv(*Request));
  } else {
    Node.Metrics.MalformedMessages->Increment();
    Answer = makeRefusal(outcome::Unknown, refusal_reason::MalformedRequest);
  }
  framework::memory_charge Charge(&Node.Messages,
                                  framework::memory_class::Answers);
  bool InTime =
      co_await awaitMessageRoom(Node, Charge, Answer.Body.size(), Deadline);
  if (!InTime) {
    Answer = makeRefusal(outcome::Unknown, refusal_reason::DeadlinePassed);
  }
  rpc::WorkAnswer::Builder Message = Context.getResults().initAnswer();
  writeAnswer(Message, Answer, Attempt);
  if (Charge.bytes() > 0) {
    Message.setReceipt(kj::heap<answer_receipt>(std::move(Charge)));
  }
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
  if (Reply.Presence) {
    writePresence(Results, *Reply.Presence);
  }
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
