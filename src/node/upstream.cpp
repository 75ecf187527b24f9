#include "node/upstream.h"

#include <algorithm>

namespace figplank::node {
namespace {

using framework::log_level;
using framework::logEvent;
using framework::milliseconds;
using framework::monotonic_time;
using framework::outcome;
using framework::readClocks;
using framework::refusal_reason;

/// Time that a run of a non-idempotent request may outlast its deadline, so
/// that its outcome becomes known.
constexpr milliseconds RunGrace{10'000};
/// Wait for other connections of a dying backend server to break.
constexpr milliseconds CrashCollect{5};
/// Pause between two looks at whether a suspect has ended.
constexpr milliseconds SuspectPoll{20};
constexpr milliseconds NoticeTimeout{300};
constexpr milliseconds HandoverTimeout{2'000};
constexpr double ServiceSmoothing = 0.1;
constexpr double FirstServiceSeconds = 0.005;
constexpr milliseconds LeastRetryAfter{100};
constexpr unsigned ServerError = 500;

outcome refusalOutcome(const work_request &Request) {
  return Request.Idempotent ? outcome::NotRun : outcome::Unknown;
}

/// Refusals after which another upstream may do better.
bool mayGoElsewhere(refusal_reason Reason) {
  switch (Reason) {
  case refusal_reason::Draining:
  case refusal_reason::NoConfiguration:
  case refusal_reason::BackendShed:
  case refusal_reason::BackendUnreachable:
  case refusal_reason::BackendFailed:
  case refusal_reason::ConnectionLost:
  case refusal_reason::QueueFull:
    return true;
  default:
    return false;
  }
}

work_answer answerFrom(const execution::stored_answer &Stored) {
  work_answer Answer;
  Answer.Outcome = outcome::Completed;
  Answer.Status = Stored.Status;
  Answer.ContentType = Stored.ContentType;
  Answer.Body = Stored.Body;
  return Answer;
}

} // namespace

queue_turn::~queue_turn() {
  Service.Turns.erase(Ticket);
  if (Queued && !Granted) {
    admission::removeTicket(Service.Node.Queue, Ticket);
  }
  if (Granted) {
    admission::endRun(Service.Node.Limit, Result);
    Service.pump();
  }
}

upstream_service::upstream_service(node_runtime &Node, peer_pool &Peers)
    : Node(Node), Peers(Peers), Backend(Node) {}

task<work_answer> upstream_service::execute(work_request Request) {
  work_answer Answer;
  if (!Node.Condition.Ready) {
    Answer =
        refuseWork(refusalOutcome(Request), refusal_reason::NoConfiguration);
  } else if (Request.Service != Node.Settings.Service) {
    Answer = refuseWork(refusalOutcome(Request), refusal_reason::HomeMoved);
  } else if (Request.Idempotent) {
    Answer = co_await admitAndRun(Request);
  } else {
    Answer = co_await executeOnce(Request);
  }
  completeAnswer(Answer, Request);
  co_return kj::mv(Answer);
}

void upstream_service::completeAnswer(work_answer &Answer,
                                      const work_request &Request) {
  if (Answer.Reason != refusal_reason::None) {
    countRefusal(Node.Metrics.RefusedHere, Answer.Reason);
  }
  Answer.Load = ownLoad(Node);
  double Own =
      admission::shareOf(Node.Shares, Request.Rank, Request.Organisation);
  double Below =
      admission::chainShareOf(Node.ChildShares, Request.Template,
                              Request.Organisation, readClocks().Monotonic);
  Answer.Share = std::min(Own, Below);
}

// The home of non-idempotent ids.

task<work_answer> upstream_service::executeOnce(work_request Request) {
  if (Node.Condition.ViewStale) {
    work_answer Late = refuseWork(outcome::Unknown, refusal_reason::WokeLate);
    Late.MayRetry = true;
    co_return kj::mv(Late);
  }
  const execution::request_id Id = *Request.Id;
  const std::string &Self = Node.Settings.RpcAddress;
  execution::home_decision Decision =
      execution::decideRun(Node.Home, Id, Self, false, readClocks().Wall);
  if (Decision.Verdict == execution::home_verdict::AskPriorHomes) {
    bool Settled = co_await askPriorHomes(Decision.PriorHomes, Id);
    if (!Settled) {
      co_return refuseWork(outcome::Unknown, refusal_reason::HomeUnreachable);
    }
    Decision =
        execution::decideRun(Node.Home, Id, Self, true, readClocks().Wall);
  }
  work_answer Answer;
  switch (Decision.Verdict) {
  case execution::home_verdict::Run:
    Runs.emplace(Id, kj::Promise<work_answer>(runOnce(Request)).fork());
    Node.Tasks.add(Runs.find(Id)->second.addBranch().ignoreResult());
    Answer = co_await joinRun(Id);
    break;
  case execution::home_verdict::Join:
    Answer = co_await joinRun(Id);
    break;
  case execution::home_verdict::Known:
    Answer = answerFrom(execution::findRecord(Node.Home, Id)->Answer);
    break;
  default:
    Answer = refuseWork(Decision.Outcome, Decision.Reason);
    Answer.MayRetry = Decision.Reason == refusal_reason::HomeMoved;
    break;
  }
  co_return kj::mv(Answer);
}

task<work_answer> upstream_service::joinRun(execution::request_id Id) {
  auto Found = Runs.find(Id);
  if (Found == Runs.end()) {
    co_return refuseWork(outcome::Unknown, refusal_reason::ConnectionLost);
  }
  kj::Promise<work_answer> Branch = Found->second.addBranch();
  work_answer Answer = co_await kj::mv(Branch);
  co_return kj::mv(Answer);
}

task<work_answer> upstream_service::runOnce(work_request Request) {
  // The caller must have entered the run in the table before it can end.
  co_await kj::evalLater([]() {});
  work_answer Answer = co_await admitAndRun(Request);
  const execution::request_id Id = *Request.Id;
  switch (Answer.Outcome) {
  case outcome::Completed:
    execution::completeRun(Node.Home, Id,
                           {Answer.Status, Answer.ContentType, Answer.Body});
    break;
  case outcome::NotRun:
    execution::fenceRun(Node.Home, Id, Answer.Reason);
    break;
  case outcome::Unknown:
    execution::loseRun(Node.Home, Id, Answer.Reason);
    break;
  }
  // An id that was fenced stays so; it must not be tried elsewhere.
  Answer.MayRetry = false;
  Node.Tasks.add(kj::evalLater([this, Id]() { Runs.erase(Id); }));
  co_return kj::mv(Answer);
}

task<bool> upstream_service::askPriorHomes(std::vector<std::string> Homes,
                                           execution::request_id Id) {
  std::vector<std::string> Asked;
  for (const std::string &Home : Homes) {
    handover_answer Prior = co_await askPriorHome(Home, Id, Asked);
    if (Prior.Verdict == execution::handover_verdict::Known) {
      execution::adoptRecord(Node.Home, Id, Prior.Record);
      co_return true;
    }
    if (Prior.Verdict != execution::handover_verdict::Granted) {
      co_return false;
    }
    Asked.push_back(Home);
  }
  co_return true;
}

task<handover_answer>
upstream_service::askPriorHome(std::string Address, execution::request_id Id,
                               std::vector<std::string> Asked) {
  handover_answer Answer;
  connection_result Connected = co_await Peers.connect(Address);
  call_error Error = Connected.Error;
  KJ_IF_MAYBE (Connection, Connected.Got) {
    auto Request = KJ_ASSERT_NONNULL((*Connection)->Client).handOverRequest();
    std::string_view Bytes = execution::asText(Id);
    Request.setId(
        {reinterpret_cast<const kj::byte *>(Bytes.data()), Bytes.size()});
    Request.setAsker(Node.Settings.RpcAddress.c_str());
    auto Granted = Request.initAsked(static_cast<unsigned>(Asked.size()));
    for (unsigned I = 0; I < Asked.size(); ++I) {
      Granted.set(I, Asked[I].c_str());
    }
    auto Called = co_await Peers.call(kj::mv(*Connection), kj::mv(Request),
                                      readClocks().Monotonic + HandoverTimeout);
    KJ_IF_MAYBE (Response, Called.Got) {
      Answer = readHandover(Response->getRecord());
      co_return kj::mv(Answer);
    }
    Error = Called.Error;
  }
  logEvent(log_level::Warning, "prior_home_unreachable",
           {{"address", Address}, {"error", Error.Description}});
  co_return kj::mv(Answer);
}

task<handover_answer>
upstream_service::handOver(execution::request_id Id, std::string Asker,
                           std::vector<std::string> Asked) {
  handover_answer Answer;
  if (!Node.Condition.Ready || Node.Condition.ViewStale) {
    co_return kj::mv(Answer);
  }
  const std::string &Self = Node.Settings.RpcAddress;
  Answer.Verdict =
      execution::handOver(Node.Home, Id, Self, Asker, Asked, readClocks().Wall);
  if (Answer.Verdict == execution::handover_verdict::Running) {
    work_answer Ended = co_await joinRun(Id);
    Answer.Verdict = execution::handOver(Node.Home, Id, Self, Asker, Asked,
                                         readClocks().Wall);
  }
  const execution::id_record *Record = execution::findRecord(Node.Home, Id);
  if (Answer.Verdict == execution::handover_verdict::Known &&
      Record != nullptr) {
    Answer.Record = *Record;
  }
  co_return kj::mv(Answer);
}

// Admission.

task<work_answer> upstream_service::admitAndRun(work_request Request) {
  const retry::fingerprint Fingerprint = retry::fingerprintOf(
      Request.Template, Request.Organisation, Request.Body);
  refusal_reason Reason = co_await awaitSuspects(Fingerprint, Request.Deadline);
  if (Reason == refusal_reason::None) {
    Reason = admit(Request, readClocks().Monotonic);
  }
  queue_turn Turn(*this, NextTicket++);
  if (Reason == refusal_reason::None) {
    Reason = co_await awaitTurn(Turn, Request);
  }
  work_answer Answer;
  if (Reason == refusal_reason::None) {
    Answer = co_await runAtBackend(Turn, Request, Fingerprint);
  } else {
    Answer = refuseWork(outcome::NotRun, Reason);
    Answer.RetryAfter = retryAfter();
    Answer.UnusedTries = Request.ExtraTries;
    Answer.MayRetry = Request.Idempotent && mayGoElsewhere(Reason);
  }
  bool Completed = Answer.Outcome == outcome::Completed;
  retry::finishRun(Node.Suspects, Fingerprint, Completed);
  co_return kj::mv(Answer);
}

task<refusal_reason>
upstream_service::awaitSuspects(retry::fingerprint Fingerprint,
                                monotonic_time Deadline) {
  while (true) {
    monotonic_time Now = readClocks().Monotonic;
    switch (retry::judge(Node.Suspects, Fingerprint, Now)) {
    case retry::suspect_verdict::Clear:
      co_return refusal_reason::None;
    case retry::suspect_verdict::RunAlone:
      retry::startSuspect(Node.Suspects, Fingerprint);
      co_return refusal_reason::None;
    case retry::suspect_verdict::Condemned:
      co_return refusal_reason::SuspectRequest;
    case retry::suspect_verdict::Wait:
      break;
    }
    if (Now >= Deadline) {
      co_return refusal_reason::DeadlinePassed;
    }
    co_await Node.Timer.afterDelay(toDuration(SuspectPoll));
  }
}

refusal_reason upstream_service::admit(work_request &Request,
                                       monotonic_time Now) {
  if (Node.Condition.Draining) {
    return refusal_reason::Draining;
  }
  if (Now >= Request.Deadline) {
    return refusal_reason::DeadlinePassed;
  }
  if (Node.Settings.Admission == admission_mode::None) {
    return refusal_reason::None;
  }
  framework::microseconds Expected = serviceTime(Request.Template);
  admission::recordArrival(Node.Shares, Request.Rank, Request.Organisation,
                           Request.Weight,
                           std::chrono::duration<double>(Expected).count());
  double Share = std::min(
      admission::shareOf(Node.Shares, Request.Rank, Request.Organisation),
      admission::chainShareOf(Node.ChildShares, Request.Template,
                              Request.Organisation, Now));
  bool Coordinated = Node.Settings.Admission == admission_mode::Coordinated;
  double Draw = Coordinated ? Request.Draw : Node.draw();
  if (!admission::isAdmitted(Draw, Share,
                             Coordinated ? Request.Depth : std::uint8_t{0})) {
    return refusal_reason::Overload;
  }
  Request.Weight = std::max(Request.Weight, 1.0 / Share);
  bool InTime =
      admission::canMeetDeadline(Node.Queue, Request.Rank, Expected,
                                 Node.Limit.Limit, Request.Deadline, Now);
  return InTime ? refusal_reason::None : refusal_reason::DeadlineUnreachable;
}

task<refusal_reason> upstream_service::awaitTurn(queue_turn &Turn,
                                                 const work_request &Request) {
  bool Unlimited = Node.Settings.Admission == admission_mode::None;
  if (Unlimited ||
      (Node.Queue.Size == 0 && admission::hasRoom(Node.Limit, Request.Rank))) {
    admission::startRun(Node.Limit);
    Turn.Granted = true;
    recordWait(framework::microseconds(0));
    co_return refusal_reason::None;
  }
  auto Pair = kj::newPromiseAndFulfiller<refusal_reason>();
  Turn.Fulfiller = kj::mv(Pair.fulfiller);
  Turn.Queued = true;
  Turns[Turn.Ticket] = &Turn;
  monotonic_time Now = readClocks().Monotonic;
  auto Dropped = admission::enqueue(
      Node.Queue,
      {Turn.Ticket, Request.Rank, Request.Organisation, Request.Depth, Now,
       Request.Deadline, serviceTime(Request.Template)});
  if (Dropped) {
    drop(*Dropped);
  }
  pump();
  refusal_reason Overdue = refusal_reason::DeadlinePassed;
  kj::Promise<refusal_reason> Late =
      Node.Timer.afterDelay(toDuration(Request.Deadline - Now))
          .then([Overdue]() { return Overdue; });
  kj::Promise<refusal_reason> Either = Pair.promise.exclusiveJoin(kj::mv(Late));
  refusal_reason Reason = co_await kj::mv(Either);
  if (Reason == refusal_reason::None) {
    recordWait(readClocks().Monotonic - Now);
  }
  co_return Reason;
}

std::optional<std::uint8_t> upstream_service::lastRankWithRoom() const {
  constexpr std::uint8_t LeastUrgent = configuration::RankCount - 1;
  if (admission::hasRoom(Node.Limit, LeastUrgent)) {
    return LeastUrgent;
  }
  if (admission::hasRoom(Node.Limit, Node.Limit.ReservedFor)) {
    return Node.Limit.ReservedFor;
  }
  return std::nullopt;
}

void upstream_service::drop(const admission::dropped_work &Dropped) {
  queue_turn *Turn = Turns[Dropped.Ticket];
  Turn->Queued = false;
  Turn->Fulfiller->fulfill(kj::cp(Dropped.Reason));
}

void upstream_service::pump() {
  while (Node.Queue.Size > 0) {
    auto LastRank = lastRankWithRoom();
    if (!LastRank) {
      return;
    }
    admission::dequeued_work Found = admission::dequeue(
        Node.Queue, Node.MinimumShares, *LastRank, readClocks().Monotonic);
    for (const admission::dropped_work &Dropped : Found.Dropped) {
      drop(Dropped);
    }
    if (!Found.Next) {
      return;
    }
    queue_turn *Turn = Turns[Found.Next->Ticket];
    admission::startRun(Node.Limit);
    Turn->Granted = true;
    Turn->Fulfiller->fulfill(refusal_reason::None);
  }
}

// The run at the backend server.

task<work_answer>
upstream_service::runAtBackend(queue_turn &Turn, work_request Request,
                               retry::fingerprint Fingerprint) {
  auto Context = std::make_shared<call_context>();
  Context->Token = std::to_string(Node.Random());
  Context->Budget = {Request.ExtraTries};
  backend_request Sent;
  Sent.Path = Request.Path;
  Sent.ContentType = Request.ContentType;
  Sent.Body = std::move(Request.Body);
  Sent.Context = Context->Token;
  Sent.IdempotencyKey =
      Request.Id ? execution::formatRequestId(*Request.Id) : std::string();
  Sent.Organisation = Request.Organisation;
  Sent.Rank = Request.Rank;
  monotonic_time Start = readClocks().Monotonic;
  Sent.RemainingMs = framework::remainingMilliseconds(Start, Request.Deadline);
  Request.Body.clear();
  Context->Request = Request;
  Contexts[Context->Token] = Context;
  KJ_DEFER(Contexts.erase(Context->Token));

  framework::microseconds Allowed = Request.Deadline - Start;
  if (!Request.Idempotent) {
    Allowed += RunGrace;
  }
  backend_answer Got;
  bool Overdue = false;
  try {
    kj::Promise<backend_answer> Sending = Backend.send(std::move(Sent));
    kj::Promise<backend_answer> Timed =
        Node.Timer.timeoutAfter(toDuration(Allowed), kj::mv(Sending));
    Got = co_await kj::mv(Timed);
  } catch (const kj::Exception &) {
    Overdue = true;
  }
  admission::recordShare(Node.ChildShares, Request.Template,
                         Request.Organisation, Context->ChildShare,
                         readClocks().Monotonic);
  work_answer Answer;
  if (Overdue) {
    Turn.Result = admission::run_result::TimedOut;
    Answer = refuseWork(outcome::Unknown, refusal_reason::DeadlinePassed);
  } else {
    bool Ran = Got.Result == backend_result::Answered;
    if (Ran) {
      recordServiceTime(Request.Template, readClocks().Monotonic - Start);
    }
    Answer = co_await judgeResult(Turn, std::move(Got), Context->ChildFailed,
                                  Request.Idempotent, Fingerprint);
  }
  Answer.UnusedTries = Context->Budget.ExtraTries;
  co_return kj::mv(Answer);
}

task<work_answer>
upstream_service::judgeResult(queue_turn &Turn, backend_answer Got,
                              bool ChildFailed, bool Idempotent,
                              retry::fingerprint Fingerprint) {
  work_answer Answer;
  if (Got.Draining && !Node.Condition.Draining) {
    Node.Condition.Draining = true;
    excludeSelf();
    logEvent(log_level::Info, "backend_draining", {});
    Node.Tasks.add(announceDrain());
  }
  bool Crashed = false;
  switch (Got.Result) {
  case backend_result::Answered:
    Answer.Outcome = outcome::Completed;
    Answer.Status = Got.Status;
    Answer.ContentType = std::move(Got.ContentType);
    Answer.Body = std::move(Got.Body);
    Turn.Result = admission::run_result::Completed;
    if (Got.Status >= ServerError) {
      Turn.Result = ChildFailed ? admission::run_result::Completed
                                : admission::run_result::Failed;
      Answer.Reason = ChildFailed ? refusal_reason::ChildRefused
                                  : refusal_reason::BackendFailed;
      // NOTE The answer of a non-idempotent run is its outcome, whatever the
      // status; it is kept and repeated.
      Answer.Outcome = Idempotent ? outcome::Unknown : outcome::Completed;
    }
    break;
  case backend_result::Shed:
    Answer = refuseWork(outcome::NotRun, refusal_reason::BackendShed);
    Answer.RetryAfter = std::max(Got.RetryAfter, LeastRetryAfter);
    Turn.Result = admission::run_result::Shed;
    break;
  case backend_result::Unreachable:
    Answer = refuseWork(outcome::NotRun, refusal_reason::BackendUnreachable);
    Answer.RetryAfter = LeastRetryAfter;
    Turn.Result = admission::run_result::Failed;
    admission::restartCold(Node.Limit);
    break;
  case backend_result::Lost:
    Turn.Result = admission::run_result::Failed;
    Crashed = co_await awaitCrashCheck(Fingerprint);
    Answer =
        refuseWork(outcome::Unknown, Crashed ? refusal_reason::BackendFailed
                                             : refusal_reason::ConnectionLost);
    break;
  }
  Answer.MayRetry = Idempotent && mayGoElsewhere(Answer.Reason);
  co_return kj::mv(Answer);
}

task<bool> upstream_service::awaitCrashCheck(retry::fingerprint Fingerprint) {
  Lost.push_back(Fingerprint);
  if (CrashCheck == nullptr) {
    CrashCheck = kj::Promise<bool>(checkCrash()).fork();
  }
  kj::Promise<bool> Branch = KJ_ASSERT_NONNULL(CrashCheck).addBranch();
  bool Crashed = co_await kj::mv(Branch);
  co_return Crashed;
}

task<bool> upstream_service::checkCrash() {
  co_await Node.Timer.afterDelay(toDuration(CrashCollect));
  bool Reached = co_await Backend.probe();
  std::vector<retry::fingerprint> Running = std::move(Lost);
  Lost.clear();
  if (!Reached) {
    Node.Metrics.BackendCrashes->Increment();
    admission::restartCold(Node.Limit);
    retry::crash_report Report =
        retry::makeCrashReport(Node.Suspects, Node.Random(), Running);
    retry::applyCrashReport(Node.Suspects, Report, readClocks().Monotonic);
    logEvent(log_level::Warning, "backend_crashed",
             {{"running", static_cast<std::uint64_t>(Report.Running.size())},
              {"suspects",
               static_cast<std::uint64_t>(Node.Suspects.Suspects.size())}});
    std::vector<retry::crash_report> Reports{Report};
    co_await notifyPeers(Reports, {});
  }
  // NOTE The maybe is cleared from a later turn, since this coroutine is
  // what it holds.
  Node.Tasks.add(kj::evalLater([this]() { CrashCheck = nullptr; }));
  co_return !Reached;
}

// Notices.

task<void>
upstream_service::notifyPeers(std::vector<retry::crash_report> Reports,
                              std::vector<std::string> Draining) {
  auto Sends = kj::heapArrayBuilder<kj::Promise<void>>(1024);
  auto Listed = Node.Store.Catalog.Instances.find(Node.Settings.Service);
  if (Listed != Node.Store.Catalog.Instances.end()) {
    for (const auto &[Name, Instance] : Listed->second) {
      bool Full = Sends.size() == Sends.capacity();
      if (Instance.Address != Node.Settings.RpcAddress && !Full) {
        Sends.add(notifyPeer(Instance.Address, Reports, Draining));
      }
    }
  }
  co_await kj::joinPromises(Sends.finish());
}

task<void>
upstream_service::notifyPeer(std::string Address,
                             std::vector<retry::crash_report> Reports,
                             std::vector<std::string> Draining) {
  connection_result Connected = co_await Peers.connect(Address);
  KJ_IF_MAYBE (Connection, Connected.Got) {
    auto Request = KJ_ASSERT_NONNULL((*Connection)->Client).notifyRequest();
    auto Crashes = Request.initCrashes(static_cast<unsigned>(Reports.size()));
    for (unsigned I = 0; I < Reports.size(); ++I) {
      writeCrashReport(Crashes[I], Reports[I]);
    }
    auto Leaving = Request.initDraining(static_cast<unsigned>(Draining.size()));
    for (unsigned I = 0; I < Draining.size(); ++I) {
      Leaving.set(I, Draining[I].c_str());
    }
    auto Called = co_await Peers.call(kj::mv(*Connection), kj::mv(Request),
                                      readClocks().Monotonic + NoticeTimeout);
    if (Called.Got != nullptr) {
      co_return;
    }
  }
  logEvent(log_level::Info, "notice_lost", {{"address", Address}});
}

void upstream_service::excludeSelf() {
  routing::recordDrain(Node.Upstreams, Node.Settings.RpcAddress,
                       readClocks().Monotonic);
}

task<void> upstream_service::announceDrain() {
  std::vector<std::string> Draining{Node.Settings.RpcAddress};
  co_await notifyPeers({}, Draining);
}

void upstream_service::applyNotice(
    const std::vector<retry::crash_report> &Reports,
    const std::vector<std::string> &Draining) {
  monotonic_time Now = readClocks().Monotonic;
  for (const retry::crash_report &Report : Reports) {
    retry::applyCrashReport(Node.Suspects, Report, Now);
  }
  for (const std::string &Address : Draining) {
    routing::recordDrain(Node.Upstreams, Address, Now);
  }
}

// Control windows.

void upstream_service::tick(monotonic_time Now) {
  admission::advanceLimit(Node.Limit, Now);
  admission::window_measure Measure{
      Node.Limit.Limit, ShortestWait.value_or(framework::microseconds(0))};
  if (admission::advanceShares(Node.Shares, Measure, Node.MinimumShares, Now)) {
    std::uint8_t Urgent = admission::mostUrgentRank(Node.Shares);
    admission::reserveFor(Node.Limit, Urgent);
    ShortestWait.reset();
    LongestWait = framework::microseconds(0);
  }
  pump();
}

void upstream_service::recordWait(framework::microseconds Waited) {
  ShortestWait = std::min(ShortestWait.value_or(Waited), Waited);
  LongestWait = std::max(LongestWait, Waited);
}

std::size_t upstream_service::unfinished() const {
  return Node.Limit.InFlight + Node.Queue.Size;
}

framework::microseconds
upstream_service::serviceTime(const std::string &Template) const {
  auto Found = ServiceSeconds.find(Template);
  double Seconds =
      Found == ServiceSeconds.end() ? FirstServiceSeconds : Found->second;
  return std::chrono::duration_cast<framework::microseconds>(
      std::chrono::duration<double>(Seconds));
}

void upstream_service::recordServiceTime(const std::string &Template,
                                         framework::microseconds Time) {
  double Seconds = std::chrono::duration<double>(Time).count();
  auto [Found, Fresh] = ServiceSeconds.try_emplace(Template, Seconds);
  if (!Fresh) {
    Found->second += ServiceSmoothing * (Seconds - Found->second);
  }
}

milliseconds upstream_service::retryAfter() {
  // Spread over as much again, so that refused callers do not return together.
  auto Base = std::max(LeastRetryAfter,
                       std::chrono::duration_cast<milliseconds>(LongestWait));
  auto Spread = static_cast<std::int64_t>(static_cast<double>(Base.count()) *
                                          Node.draw());
  return Base + milliseconds(Spread);
}

} // namespace figplank::node
