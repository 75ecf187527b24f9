#include "node/upstream.h"

#include "node/decisionlog.h"

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
/// Pause between two looks at whether a suspect has ended.
constexpr milliseconds SuspectPoll{20};
constexpr double ServiceSmoothing = 0.1;
constexpr double FallingSmoothing = 0.3;
constexpr double FirstServiceSeconds = 0.005;
constexpr milliseconds LeastRetryAfter{100};
constexpr unsigned ServerError = 500;
/// Time that a leaving backend server is still given work, for the callers that
/// have not heard of it.
constexpr milliseconds LeavingTolerance{300};
/// Time for a refusal to travel back to the entry.
constexpr milliseconds RefusalMargin{10};
/// Part of its objective that a request may wait in the queue.
constexpr double ObjectivePartInQueue = 0.4;

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
  case refusal_reason::WrongInstance:
    return true;
  default:
    return false;
  }
}

} // namespace

queue_turn::~queue_turn() {
  Service.Turns.erase(Ticket);
  if (Queued && !Granted) {
    admission::removeTicket(Service.Node.Queue, Ticket);
  }
  if (Granted) {
    admission::releaseSlot(Service.Node.Limit, Result);
    Service.pump();
  }
}

upstream_service::upstream_service(node_runtime &Node, peer_pool &Peers,
                                   const wire_dialect *Dialect)
    : Notifier(Node, Peers), Home(Node, Peers,
                                  [this](work_request Request) {
                                    return admitAndRun(std::move(Request));
                                  }),
      Node(Node), Backend(Node, Dialect), Crashes(Node, Backend, Notifier) {}

task<work_answer> upstream_service::execute(work_request Request) {
  work_answer Answer;
  detectPause(Node);
  if (hasJustResumed(Node)) {
    // What arrives now may have waited in the kernel for all of the pause.
    Answer = makeRefusal(refusalOutcome(Request), refusal_reason::JustResumed);
    Answer.MayRetry = true;
  } else if (!Node.Condition.Ready) {
    Answer =
        makeRefusal(refusalOutcome(Request), refusal_reason::NoConfiguration);
  } else if (Request.Service != Node.Settings.Service) {
    Answer = makeRefusal(refusalOutcome(Request), refusal_reason::HomeMoved);
  } else if (hasHome(Request)) {
    Answer = co_await Home.execute(Request);
  } else {
    Answer = co_await admitAndRun(Request);
  }
  completeAnswer(Answer, Request);
  co_return kj::mv(Answer);
}

void upstream_service::completeAnswer(work_answer &Answer,
                                      const work_request &Request) {
  if (Answer.Reason != refusal_reason::None) {
    countRefusal(Node.Metrics.LocalRefusals, Answer.Reason);
  }
  Answer.Load = localLoad(Node);
  Answer.ChainShare = chainShare(Request, readClocks().Monotonic);
}

double upstream_service::chainShare(const work_request &Request,
                                    monotonic_time Now) const {
  return std::min(
      admission::shareOf(Node.Shares, Request.Rank, Request.Organisation),
      admission::chainShareOf(Node.ChildShares, Request.Template,
                              Request.Organisation, Now));
}

// Admission.

task<work_answer> upstream_service::admitAndRun(work_request Request) {
  const retry::fingerprint Fingerprint = retry::fingerprintOf(
      Request.Template, Request.Organisation, Request.Path, Request.Body);
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
    logRefused(Request, Reason, readClocks().Monotonic);
    Answer = makeRefusal(outcome::NotRun, Reason);
    Answer.RetryAfter = retryAfter();
    Answer.UnusedTries = Request.ExtraTries;
    Answer.MayRetry = !hasHome(Request) && mayGoElsewhere(Reason);
  }
  bool Completed = Answer.Outcome == outcome::Completed;
  retry::recordRunEnd(Node.Suspects, Fingerprint, Completed);
  co_return kj::mv(Answer);
}

void upstream_service::logRefused(const work_request &Request,
                                  refusal_reason Reason,
                                  monotonic_time Now) const {
  logRefusal(Request, Reason,
             {chainShare(Request, Now), Node.Limit.Limit, Node.Limit.InFlight,
              Node.Queue.Size, serviceTime(Request.Template)},
             Now);
}

task<refusal_reason>
upstream_service::awaitSuspects(retry::fingerprint Fingerprint,
                                monotonic_time Deadline) {
  while (true) {
    monotonic_time Now = readClocks().Monotonic;
    switch (retry::checkSuspect(Node.Suspects, Fingerprint, Now)) {
    case retry::suspect_verdict::Clear:
      co_return refusal_reason::None;
    case retry::suspect_verdict::RunAlone:
      retry::recordSuspectStart(Node.Suspects, Fingerprint);
      co_return refusal_reason::None;
    case retry::suspect_verdict::Quarantined:
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

bool upstream_service::isBackendLeaving(monotonic_time Now) const {
  return Node.BackendLeavingSince &&
         Now - *Node.BackendLeavingSince > LeavingTolerance;
}

refusal_reason upstream_service::admit(work_request &Request,
                                       monotonic_time Now) {
  if (Node.Condition.Draining || isBackendLeaving(Now)) {
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
                           Request.SamplingWeight,
                           framework::inSeconds(Expected));
  double Share = chainShare(Request, Now);
  bool Coordinated = Node.Settings.Admission == admission_mode::Coordinated;
  // What the chain has spent on an admitted request is not wasted.
  bool Invested = Request.Forwarded && Request.Depth > 0;
  double Draw = Coordinated ? Request.Draw : Node.draw();
  if (!Invested &&
      !admission::isAdmitted(Draw, Share,
                             Coordinated ? Request.Depth : std::uint8_t{0})) {
    return refusal_reason::Overload;
  }
  Request.SamplingWeight = std::max(Request.SamplingWeight, 1.0 / Share);
  bool InTime =
      admission::canMeetDeadline(Node.Queue, Request.Rank, Expected,
                                 Node.Limit.Limit, Request.Deadline, Now);
  return InTime ? refusal_reason::None : refusal_reason::DeadlineUnreachable;
}

task<refusal_reason> upstream_service::awaitTurn(queue_turn &Turn,
                                                 const work_request &Request) {
  bool Unlimited = Node.Settings.Admission == admission_mode::None;
  if (Unlimited || (Node.Queue.Size == 0 &&
                    admission::hasFreeSlot(Node.Limit, Request.Rank))) {
    admission::acquireSlot(Node.Limit);
    Turn.Granted = true;
    recordWait(Request.Rank, framework::microseconds(0));
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
  refusal_reason Overdue = refusal_reason::DeadlineUnreachable;
  kj::Promise<refusal_reason> Late =
      Node.Timer.afterDelay(toDuration(longestWait(Request, Now)))
          .then([Overdue]() { return Overdue; });
  kj::Promise<refusal_reason> Either = Pair.promise.exclusiveJoin(kj::mv(Late));
  refusal_reason Reason = co_await kj::mv(Either);
  // What was dropped waited as well.
  recordWait(Request.Rank, readClocks().Monotonic - Now);
  co_return Reason;
}

framework::microseconds
upstream_service::longestWait(const work_request &Request,
                              monotonic_time Now) const {
  if (!Request.Forwarded) {
    return Request.Deadline - Now;
  }
  // NOTE The refusal must reach the entry before the deadline, or the entry has
  // to say that it does not know whether the request ran.
  framework::microseconds Left =
      Request.Deadline - Now - serviceTime(Request.Template) - RefusalMargin;
  bool Fresh = Request.Depth == 0 && Request.LatencyObjective.count() > 0;
  auto Patience = std::chrono::duration_cast<framework::microseconds>(
      Request.LatencyObjective * ObjectivePartInQueue);
  return Fresh ? std::min(Left, Patience) : Left;
}

std::optional<std::uint8_t> upstream_service::lastRankWithFreeSlot() const {
  constexpr std::uint8_t LeastUrgent = configuration::RankCount - 1;
  if (admission::hasFreeSlot(Node.Limit, LeastUrgent)) {
    return LeastUrgent;
  }
  if (admission::hasFreeSlot(Node.Limit, Node.Limit.ReservedUpToRank)) {
    return Node.Limit.ReservedUpToRank;
  }
  return std::nullopt;
}

void upstream_service::drop(const admission::dropped_work &Dropped) {
  queue_turn *Turn = Turns[Dropped.Ticket];
  Turn->Queued = false;
  Turn->Fulfiller->fulfill(kj::cp(Dropped.Reason));
}

void upstream_service::dropQueue(refusal_reason Reason) {
  std::vector<std::uint64_t> Tickets;
  for (const auto &[Ticket, Turn] : Turns) {
    if (Turn->Queued && !Turn->Granted) {
      Tickets.push_back(Ticket);
    }
  }
  for (std::uint64_t Ticket : Tickets) {
    admission::removeTicket(Node.Queue, Ticket);
    drop({Ticket, Reason});
  }
}

void upstream_service::pump() {
  while (Node.Queue.Size > 0) {
    auto LastRank = lastRankWithFreeSlot();
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
    admission::acquireSlot(Node.Limit);
    Turn->Granted = true;
    Turn->Fulfiller->fulfill(refusal_reason::None);
  }
}

// The run at the backend server.

task<work_answer>
upstream_service::runAtBackend(queue_turn &Turn, work_request Request,
                               retry::fingerprint Fingerprint) {
  auto Context = std::make_shared<call_context>();
  bool HasName = Request.Forwarded && !Request.Forwarded->RequestName.empty();
  Context->Token =
      HasName ? Request.Forwarded->RequestName : std::to_string(Node.Random());
  Context->Budget = {Request.ExtraTries};
  monotonic_time Start = readClocks().Monotonic;
  auto RemainingMs = framework::remainingMilliseconds(Start, Request.Deadline);
  kj::Promise<backend_answer> Sending =
      sendToBackend(Request, *Context, RemainingMs);
  Request.Body.clear();
  Context->Request = Request;
  Contexts[Context->Token] = Context;
  KJ_DEFER(forgetContext(*Context));

  framework::microseconds Allowed = Request.Deadline - Start;
  if (hasHome(Request)) {
    Allowed += RunGrace;
  }
  backend_answer Got;
  bool Overdue = false;
  try {
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
    Answer = makeRefusal(outcome::Unknown, refusal_reason::DeadlinePassed);
  } else {
    bool Ran = Got.Result == backend_result::Answered;
    if (Ran) {
      recordServiceTime(Request.Template, readClocks().Monotonic - Start);
    }
    Answer = co_await judgeResult(Turn, std::move(Got), Context->ChildFailed,
                                  Request.Idempotent, Fingerprint);
  }
  Answer.UnusedTries = Context->Budget.ExtraTries;
  monotonic_time End = readClocks().Monotonic;
  Node.Metrics.Timing.Backend->Observe(framework::inSeconds(End - Start));
  if (Answer.Reason != refusal_reason::None) {
    logFailedRun(Context->Request, Answer, Start, End);
  }
  co_return kj::mv(Answer);
}

kj::Promise<backend_answer>
upstream_service::sendToBackend(work_request &Request,
                                const call_context &Context,
                                std::uint32_t RemainingMs) {
  if (Request.Forwarded) {
    if (!Node.BackendInstance.empty()) {
      Request.Forwarded->ExpectedInstance = Node.BackendInstance;
    }
    return Backend.forward(Request, RemainingMs);
  }
  backend_request Sent;
  Sent.Path = Request.Path;
  Sent.ContentType = Request.ContentType;
  Sent.Body = std::move(Request.Body);
  Sent.Context = Context.Token;
  Sent.IdempotencyKey =
      Request.Id ? execution::formatRequestId(*Request.Id) : std::string();
  Sent.Organisation = Request.Organisation;
  Sent.Rank = Request.Rank;
  Sent.RemainingMs = RemainingMs;
  return Backend.send(std::move(Sent));
}

void upstream_service::forgetContext(const call_context &Context) {
  // Another copy of the request may run under the same name.
  auto Found = Contexts.find(Context.Token);
  if (Found != Contexts.end() && Found->second.get() == &Context) {
    Contexts.erase(Found);
  }
}

task<work_answer>
upstream_service::judgeResult(queue_turn &Turn, backend_answer Got,
                              bool ChildFailed, bool Idempotent,
                              retry::fingerprint Fingerprint) {
  work_answer Answer;
  if (Got.Draining && !Node.Condition.Draining) {
    Node.Condition.Draining = true;
    Notifier.excludeSelf();
    logEvent(log_level::Info, "backend_draining", {});
    Node.Tasks.add(Notifier.announceDrain());
  }
  bool Crashed = false;
  switch (Got.Result) {
  case backend_result::Answered:
    Answer.Outcome = outcome::Completed;
    Answer.Status = Got.Status;
    Answer.ContentType = std::move(Got.ContentType);
    Answer.Headers = std::move(Got.Headers);
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
    Answer = makeRefusal(outcome::NotRun, refusal_reason::BackendShed);
    Answer.RetryAfter = std::max(Got.RetryAfter, LeastRetryAfter);
    Turn.Result = admission::run_result::Shed;
    break;
  case backend_result::WrongInstance:
    Answer = makeRefusal(outcome::NotRun, refusal_reason::WrongInstance);
    Answer.RetryAfter = LeastRetryAfter;
    Turn.Result = admission::run_result::Cancelled;
    break;
  case backend_result::Unreachable:
    Answer = makeRefusal(outcome::NotRun, refusal_reason::BackendUnreachable);
    Answer.RetryAfter = LeastRetryAfter;
    Turn.Result = admission::run_result::Failed;
    admission::resetToColdStart(Node.Limit);
    break;
  case backend_result::ConnectionLost:
    Turn.Result = admission::run_result::Failed;
    Crashed = co_await Crashes.confirmCrash(Fingerprint);
    Answer =
        makeRefusal(outcome::Unknown, Crashed ? refusal_reason::BackendFailed
                                              : refusal_reason::ConnectionLost);
    break;
  }
  bool Repeatable = Idempotent || Answer.Outcome == outcome::NotRun;
  Answer.MayRetry = Repeatable && mayGoElsewhere(Answer.Reason);
  co_return kj::mv(Answer);
}

// Control windows.

void upstream_service::tick(monotonic_time Now) {
  if (isBackendLeaving(Now)) {
    dropQueue(refusal_reason::Draining);
  }
  admission::advanceLimit(Node.Limit, Now);
  PeakInFlight = std::max(PeakInFlight, Node.Limit.PeakInFlight);
  admission::window_measure Measure{Node.Limit.Limit, standingDelay(),
                                    static_cast<double>(PeakInFlight)};
  if (admission::advanceShares(Node.Shares, Measure, Node.MinimumShares, Now)) {
    std::uint8_t Urgent = admission::mostUrgentRank(Node.Shares);
    admission::reserveSlots(Node.Limit, Urgent);
    ShortestWaits = {};
    LongestWait = framework::microseconds(0);
    PeakInFlight = 0;
  }
  pump();
}

void upstream_service::recordWait(std::uint8_t Rank,
                                  framework::microseconds Waited) {
  std::optional<framework::microseconds> &Shortest = ShortestWaits[Rank];
  Shortest = std::min(Shortest.value_or(Waited), Waited);
  LongestWait = std::max(LongestWait, Waited);
  Node.Metrics.Timing.Queue->Observe(framework::inSeconds(Waited));
}

framework::microseconds upstream_service::standingDelay() const {
  // NOTE Urgent work passes the queue, so its waits say nothing of the queue.
  framework::microseconds Standing{0};
  for (const auto &Shortest : ShortestWaits) {
    Standing = std::max(Standing, Shortest.value_or(Standing));
  }
  return Standing;
}

std::size_t upstream_service::unfinishedRequests() const {
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
  double Seconds = framework::inSeconds(Time);
  auto [Found, Fresh] = ServiceSeconds.try_emplace(Template, Seconds);
  if (!Fresh) {
    // NOTE Few requests end while times are long; faster ones must show soon.
    double Weight =
        Seconds < Found->second ? FallingSmoothing : ServiceSmoothing;
    Found->second += Weight * (Seconds - Found->second);
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
