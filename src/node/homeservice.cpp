#include "node/homeservice.h"

namespace figplank::node {
namespace {

using framework::log_level;
using framework::logEvent;
using framework::milliseconds;
using framework::outcome;
using framework::readClocks;
using framework::refusal_reason;

constexpr milliseconds HandoverTimeout{2'000};

work_answer answerFrom(const execution::stored_answer &Stored) {
  work_answer Answer;
  Answer.Outcome = outcome::Completed;
  Answer.Status = Stored.Status;
  Answer.ContentType = Stored.ContentType;
  Answer.Body = Stored.Body;
  return Answer;
}

} // namespace

home_service::home_service(node_runtime &Node, peer_pool &Peers,
                           std::function<task<work_answer>(work_request)> Run)
    : Node(Node), Peers(Peers), Run(std::move(Run)) {}

task<work_answer> home_service::execute(work_request Request) {
  if (Node.Condition.ViewStale) {
    work_answer Refused =
        makeRefusal(outcome::Unknown, refusal_reason::JustResumed);
    Refused.MayRetry = true;
    co_return kj::mv(Refused);
  }
  const execution::request_id Id = *Request.Id;
  const std::string &LocalAddress = Node.Settings.RpcAddress;
  execution::home_decision Decision = execution::decideRun(
      Node.Home, Id, LocalAddress, false, readClocks().Wall);
  if (Decision.Verdict == execution::home_verdict::AskPriorHomes) {
    bool Resolved = co_await askPriorHomes(Decision.PriorHomes, Id);
    if (!Resolved) {
      co_return makeRefusal(outcome::Unknown, refusal_reason::HomeUnreachable);
    }
    Decision = execution::decideRun(Node.Home, Id, LocalAddress, true,
                                    readClocks().Wall);
  }
  work_answer Answer;
  switch (Decision.Verdict) {
  case execution::home_verdict::Run:
    ActiveRuns.emplace(Id, kj::Promise<work_answer>(runOnce(Request)).fork());
    Node.Tasks.add(ActiveRuns.find(Id)->second.addBranch().ignoreResult());
    Answer = co_await joinRun(Id);
    break;
  case execution::home_verdict::AwaitRun:
    Answer = co_await joinRun(Id);
    break;
  case execution::home_verdict::AnswerFromRecord:
    Answer = answerFrom(execution::findRecord(Node.Home, Id)->Answer);
    break;
  default:
    Answer = makeRefusal(Decision.Outcome, Decision.Reason);
    Answer.MayRetry = Decision.Reason == refusal_reason::HomeMoved;
    break;
  }
  co_return kj::mv(Answer);
}

task<work_answer> home_service::joinRun(execution::request_id Id) {
  auto Found = ActiveRuns.find(Id);
  if (Found == ActiveRuns.end()) {
    co_return makeRefusal(outcome::Unknown, refusal_reason::ConnectionLost);
  }
  kj::Promise<work_answer> Branch = Found->second.addBranch();
  work_answer Answer = co_await kj::mv(Branch);
  co_return kj::mv(Answer);
}

task<work_answer> home_service::runOnce(work_request Request) {
  // Yields first, so that execute() has added this run to ActiveRuns before it
  // can end.
  co_await kj::evalLater([]() {});
  work_answer Answer = co_await Run(Request);
  const execution::request_id Id = *Request.Id;
  switch (Answer.Outcome) {
  case outcome::Completed:
    execution::completeRun(
        Node.Home, Id, {Answer.Status, Answer.ContentType, Answer.Body.text()});
    break;
  case outcome::NotRun:
    execution::fenceRun(Node.Home, Id, Answer.Reason);
    break;
  case outcome::Unknown:
    execution::recordLostOutcome(Node.Home, Id, Answer.Reason);
    break;
  }
  // A fenced id stays fenced, so the request must not be retried elsewhere.
  Answer.MayRetry = false;
  Node.Tasks.add(kj::evalLater([this, Id]() { ActiveRuns.erase(Id); }));
  co_return kj::mv(Answer);
}

task<bool> home_service::askPriorHomes(std::vector<std::string> Homes,
                                       execution::request_id Id) {
  std::vector<std::string> Asked;
  for (const std::string &Home : Homes) {
    handover_answer PriorAnswer = co_await askPriorHome(Home, Id, Asked);
    if (PriorAnswer.Verdict == execution::handover_verdict::Recorded) {
      execution::adoptRecord(Node.Home, Id, PriorAnswer.Record);
      co_return true;
    }
    if (PriorAnswer.Verdict != execution::handover_verdict::Granted) {
      co_return false;
    }
    Asked.push_back(Home);
  }
  co_return true;
}

task<handover_answer>
home_service::askPriorHome(std::string Address, execution::request_id Id,
                           std::vector<std::string> Asked) {
  handover_answer Answer;
  connection_result Connected = co_await Peers.connect(Address);
  call_error Error = Connected.Error;
  KJ_IF_MAYBE (Connection, Connected.Value) {
    auto Request = KJ_ASSERT_NONNULL((*Connection)->Client).handOverRequest();
    std::string_view Bytes = execution::requestIdBytes(Id);
    Request.setId(
        {reinterpret_cast<const kj::byte *>(Bytes.data()), Bytes.size()});
    Request.setAsker(Node.Settings.RpcAddress.c_str());
    auto Granted = Request.initAsked(static_cast<unsigned>(Asked.size()));
    for (unsigned I = 0; I < Asked.size(); ++I) {
      Granted.set(I, Asked[I].c_str());
    }
    auto Called = co_await Peers.call(kj::mv(*Connection), kj::mv(Request),
                                      readClocks().Monotonic + HandoverTimeout);
    KJ_IF_MAYBE (Response, Called.Value) {
      Answer = readHandover(Response->getRecord());
      co_return kj::mv(Answer);
    }
    Error = Called.Error;
  }
  logEvent(log_level::Warning, "prior_home_unreachable",
           {{"address", Address}, {"error", Error.Description}});
  co_return kj::mv(Answer);
}

task<handover_answer> home_service::handOver(execution::request_id Id,
                                             std::string Asker,
                                             std::vector<std::string> Asked) {
  handover_answer Answer;
  detectPause(Node);
  if (!Node.Condition.Ready || Node.Condition.ViewStale) {
    co_return kj::mv(Answer);
  }
  const std::string &LocalAddress = Node.Settings.RpcAddress;
  Answer.Verdict = execution::handOver(Node.Home, Id, LocalAddress, Asker,
                                       Asked, readClocks().Wall);
  if (Answer.Verdict == execution::handover_verdict::Running) {
    work_answer Ended = co_await joinRun(Id);
    Answer.Verdict = execution::handOver(Node.Home, Id, LocalAddress, Asker,
                                         Asked, readClocks().Wall);
  }
  const execution::id_record *Record = execution::findRecord(Node.Home, Id);
  if (Answer.Verdict == execution::handover_verdict::Recorded &&
      Record != nullptr) {
    Answer.Record = *Record;
  }
  co_return kj::mv(Answer);
}

} // namespace figplank::node
