#include "node/upstream.h"

#include "node/decisionlog.h"
#include "node/servicesettings.h"

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

/// Time that a non-idempotent request may run past its deadline, so that its
/// outcome can still be recorded.
constexpr milliseconds RunGracePeriod{10'000};
/// Interval at which a waiting request checks whether a suspect has ended.
constexpr milliseconds SuspectPollInterval{20};
constexpr milliseconds MinRetryAfter{100};
constexpr unsigned MinServerErrorStatus = 500;
/// Time for which a leaving backend server still receives requests, since some
/// callers do not know yet that it is leaving.
constexpr milliseconds LeavingGracePeriod{300};
/// Time that a root request, and a call, waits at most for the backend server's
/// limit on requests per second, rather than go to another upstream. A call
/// that finds no upstream wastes the work of its chain.
constexpr milliseconds MaxRootLimitWait{20};
constexpr milliseconds MaxCallLimitWait{100};
/// Whether a request refused for \p Reason may succeed at another upstream.
bool isRetryableElsewhere(refusal_reason Reason) {
  switch (Reason) {
  case refusal_reason::Draining:
  case refusal_reason::NoConfiguration:
  case refusal_reason::BackendShed:
  case refusal_reason::BackendUnreachable:
  case refusal_reason::BackendFailed:
  case refusal_reason::ConnectionLost:
  case refusal_reason::QueueFull:
  case refusal_reason::WrongInstance:
  case refusal_reason::ServerLimit:
    return true;
  default:
    return false;
  }
}

} // namespace

upstream_service::upstream_service(node_runtime &Node, peer_pool &Peers,
                                   const wire_dialect *Dialect)
    : Notifier(Node, Peers), Home(Node, Peers,
                                  [this](work_request Request) {
                                    return admitAndRun(std::move(Request));
                                  }),
      Node(Node), Queue(Node, ServiceTimes), Backend(Node, Dialect),
      Crashes(Node, Backend, Notifier) {}

task<work_answer> upstream_service::execute(work_request Request) {
  work_answer Answer;
  detectPause(Node);
  if (hasJustResumed(Node)) {
    // The request may have waited in the kernel's socket buffer for the whole
    // pause.
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
  finaliseAnswer(Answer, Request);
  co_return kj::mv(Answer);
}

void upstream_service::finaliseAnswer(work_answer &Answer,
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
      admission::chainShareOf(Node.MinChildShares, Request.Template,
                              Request.Organisation, Now));
}

// Admission.

task<work_answer> upstream_service::admitAndRun(work_request Request) {
  const retry::fingerprint Fingerprint =
      retry::fingerprintOf(Request.Template, Request.Organisation, Request.Path,
                           Request.Body.text());
  bool RunsAlone = false;
  // Also where the caller leaves while the run is in progress.
  KJ_DEFER(if (RunsAlone) { retry::recordSuspectEnd(Node.Suspects); });
  refusal_reason Reason =
      co_await awaitSuspectClearance(Fingerprint, Request.Deadline, RunsAlone);
  if (Reason == refusal_reason::None) {
    Reason = admit(Request, readClocks().Monotonic);
  }
  admission_permit Permit(Queue);
  if (Reason == refusal_reason::None) {
    Reason = co_await Queue.awaitPermit(Permit, Request);
  }
  work_answer Answer;
  if (Reason == refusal_reason::None) {
    Answer = co_await runAtBackend(Permit, Request, Fingerprint);
  } else {
    logRefused(Request, Reason, readClocks().Monotonic);
    Answer = makeRefusal(outcome::NotRun, Reason);
    Answer.RetryAfter = retryAfter();
    Answer.UnusedTries = Request.ExtraTries;
    Answer.MayRetry = !hasHome(Request) && isRetryableElsewhere(Reason);
  }
  if (Answer.Outcome == outcome::Completed) {
    retry::recordCompletion(Node.Suspects, Fingerprint);
  }
  co_return kj::mv(Answer);
}

void upstream_service::logRefused(const work_request &Request,
                                  refusal_reason Reason,
                                  monotonic_time Now) const {
  logRefusal(Request, Reason,
             {chainShare(Request, Now), Node.Limit.Limit, Node.Limit.InFlight,
              Node.Queue.Size,
              admission::serviceTimeOf(ServiceTimes, Request.Template)},
             Now);
}

task<refusal_reason> upstream_service::awaitSuspectClearance(
    retry::fingerprint Fingerprint, monotonic_time Deadline, bool &RunsAlone) {
  while (true) {
    monotonic_time Now = readClocks().Monotonic;
    switch (retry::checkSuspect(Node.Suspects, Fingerprint, Now)) {
    case retry::suspect_verdict::Clear:
      co_return refusal_reason::None;
    case retry::suspect_verdict::RunAlone:
      retry::recordSuspectStart(Node.Suspects, Fingerprint, Now);
      RunsAlone = true;
      co_return refusal_reason::None;
    case retry::suspect_verdict::Quarantined:
      co_return refusal_reason::SuspectRequest;
    case retry::suspect_verdict::Wait:
      break;
    }
    if (Now >= Deadline) {
      co_return refusal_reason::DeadlinePassed;
    }
    co_await Node.Timer.afterDelay(toDuration(SuspectPollInterval));
  }
}

bool upstream_service::isBackendLeaving(monotonic_time Now) const {
  return Node.BackendLeavingSince &&
         Now - *Node.BackendLeavingSince > LeavingGracePeriod;
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
  framework::microseconds Expected =
      admission::serviceTimeOf(ServiceTimes, Request.Template);
  admission::recordArrival(Node.Shares, Request.Rank, Request.Organisation,
                           Request.SamplingWeight,
                           framework::inSeconds(Expected));
  double Share = chainShare(Request, Now);
  bool Coordinated = Node.Settings.Admission == admission_mode::Coordinated;
  // A call of a chain that was admitted is not refused, since that would waste
  // the work already done for the chain.
  bool ChainAdmitted = Request.Forwarded && Request.Depth > 0;
  double Draw = Coordinated ? Request.Draw : Node.draw();
  if (!ChainAdmitted &&
      !admission::isAdmitted(Draw, Share,
                             Coordinated ? Request.Depth : std::uint8_t{0})) {
    return refusal_reason::Overload;
  }
  Request.SamplingWeight = std::max(Request.SamplingWeight, 1.0 / Share);
  auto CanEndBefore = [&](monotonic_time End) {
    return admission::canMeetDeadline(Node.Queue, Request.Rank, Expected,
                                      Node.Limit.Limit, End, Now);
  };
  if (!CanEndBefore(Request.Deadline)) {
    return refusal_reason::DeadlineUnreachable;
  }
  // A run that outlasted the process would be lost.
  if (Node.StopTime && !CanEndBefore(*Node.StopTime)) {
    return refusal_reason::Draining;
  }
  std::size_t Ahead = admission::countAhead(Node.Queue, Request.Rank);
  bool OverLimit = admission::waitForToken(Node.RateLimit, Ahead, Now) >
                   (Request.Depth == 0 ? MaxRootLimitWait : MaxCallLimitWait);
  return OverLimit ? refusal_reason::ServerLimit : refusal_reason::None;
}

// Execution at the backend server.

task<work_answer>
upstream_service::runAtBackend(admission_permit &Permit, work_request Request,
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
  KJ_DEFER(removeContext(*Context));

  framework::microseconds Allowed = Request.Deadline - Start;
  if (hasHome(Request)) {
    Allowed += RunGracePeriod;
  }
  backend_answer Received;
  bool HasTimedOut = false;
  try {
    kj::Promise<backend_answer> Timed =
        Node.Timer.timeoutAfter(toDuration(Allowed), kj::mv(Sending));
    Received = co_await kj::mv(Timed);
  } catch (const kj::Exception &Exception) {
    // Anything else is a failed run, which Received says from the beginning.
    HasTimedOut = Exception.getType() == kj::Exception::Type::OVERLOADED;
    if (!HasTimedOut) {
      logEvent(log_level::Error, "backend_run_failed",
               {{"error", Exception.getDescription().cStr()}});
    }
  }
  admission::recordChainShare(Node.MinChildShares, Request.Template,
                              Request.Organisation, Context->MinChildShare,
                              readClocks().Monotonic);
  work_answer Answer;
  if (HasTimedOut) {
    Permit.Result = admission::run_result::TimedOut;
    Answer = makeRefusal(outcome::Unknown, refusal_reason::DeadlinePassed);
  } else {
    bool Ran = Received.Result == backend_result::Answered;
    if (Ran) {
      framework::microseconds RunTime = readClocks().Monotonic - Start;
      admission::recordServiceTime(ServiceTimes, Request.Template, RunTime);
      admission::recordRunTime(Node.RateLimit, RunTime);
    }
    Answer = co_await evaluateBackendAnswer(Permit, std::move(Received),
                                            Context->ChildFailed,
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
    if (!Node.BackendInstance.Name.empty()) {
      Request.Forwarded->ExpectedInstance = Node.BackendInstance.Name;
    }
    return Backend.forward(Request, RemainingMs);
  }
  backend_request Sent;
  Sent.Path = Request.Path;
  Sent.ContentType = Request.ContentType;
  Sent.Body = Request.Body;
  Sent.Context = Context.Token;
  Sent.IdempotencyKey =
      Request.Id ? execution::formatRequestId(*Request.Id) : std::string();
  Sent.Organisation = Request.Organisation;
  Sent.Rank = Request.Rank;
  Sent.RemainingMs = RemainingMs;
  return Backend.send(std::move(Sent));
}

void upstream_service::removeContext(const call_context &Context) {
  // A copy of the request may be running under the same token.
  auto Found = Contexts.find(Context.Token);
  if (Found != Contexts.end() && Found->second.get() == &Context) {
    Contexts.erase(Found);
  }
}

task<work_answer> upstream_service::evaluateBackendAnswer(
    admission_permit &Permit, backend_answer Received, bool ChildFailed,
    bool Idempotent, retry::fingerprint Fingerprint) {
  work_answer Answer;
  if (Received.Draining && !Node.Condition.Draining) {
    Node.Condition.Draining = true;
    Notifier.excludeSelf();
    logEvent(log_level::Info, "backend_draining", {});
    Node.Tasks.add(Notifier.announceDrain());
  }
  bool HasAnswered = Received.Result == backend_result::Answered ||
                     Received.Result == backend_result::Shed;
  if (HasAnswered) {
    recordNamedLimit(Received.NamedLimit);
  }
  if (HasAnswered && Received.Leaving) {
    Node.BackendAnnouncedLeaving = true;
    recordBackendLeaving(Node);
  }
  bool Crashed = false;
  switch (Received.Result) {
  case backend_result::Answered:
    Answer.Outcome = outcome::Completed;
    Answer.Status = Received.Status;
    Answer.ContentType = std::move(Received.ContentType);
    Answer.Headers = std::move(Received.Headers);
    Answer.Body = std::move(Received.Body);
    Permit.Result = admission::run_result::Completed;
    if (Received.Status >= MinServerErrorStatus) {
      Permit.Result = ChildFailed ? admission::run_result::Completed
                                  : admission::run_result::Failed;
      Answer.Reason = ChildFailed ? refusal_reason::ChildRefused
                                  : refusal_reason::BackendFailed;
      // NOTE A non-idempotent run that was answered is completed, whatever the
      // status. The home stores the answer and repeats it to copies.
      Answer.Outcome = Idempotent ? outcome::Unknown : outcome::Completed;
    }
    break;
  case backend_result::Shed:
    Answer = makeRefusal(outcome::NotRun, refusal_reason::BackendShed);
    Answer.RetryAfter = std::max(Received.RetryAfter, MinRetryAfter);
    Permit.Result = admission::run_result::Shed;
    break;
  case backend_result::WrongInstance:
    Answer = makeRefusal(outcome::NotRun, refusal_reason::WrongInstance);
    Answer.RetryAfter = MinRetryAfter;
    Permit.Result = admission::run_result::Cancelled;
    break;
  case backend_result::Unreachable:
    Answer = makeRefusal(outcome::NotRun, refusal_reason::BackendUnreachable);
    Answer.RetryAfter = MinRetryAfter;
    Permit.Result = admission::run_result::Failed;
    admission::resetToColdStart(Node.Limit);
    break;
  case backend_result::ConnectionLost:
    Permit.Result = admission::run_result::Failed;
    Crashed = co_await Crashes.confirmCrash(Fingerprint);
    Answer =
        makeRefusal(outcome::Unknown, Crashed ? refusal_reason::BackendFailed
                                              : refusal_reason::ConnectionLost);
    break;
  }
  bool IsRetryable = Idempotent || Answer.Outcome == outcome::NotRun;
  Answer.MayRetry = IsRetryable && isRetryableElsewhere(Answer.Reason);
  co_return kj::mv(Answer);
}

void upstream_service::recordNamedLimit(std::optional<double> PerSecond) {
  bool WasLimited = Node.RateLimit.PerSecond.has_value();
  admission::recordNamedLimit(Node.RateLimit, PerSecond,
                              readClocks().Monotonic);
  if (Node.RateLimit.PerSecond.has_value() != WasLimited) {
    logEvent(log_level::Info,
             WasLimited ? "server_limit_ended" : "server_limit_named",
             {{"per_second", Node.RateLimit.PerSecond.value_or(0.0)}});
  }
  Node.Metrics.ServerLimit->Set(Node.RateLimit.PerSecond.value_or(0.0));
}

void upstream_service::tick(monotonic_time Now) {
  if (isBackendLeaving(Now)) {
    Queue.dropAll(refusal_reason::Draining);
  }
  Queue.advance(Now);
  Backend.closeUnusableConnections();
}

std::size_t upstream_service::unfinishedRequests() const {
  return Node.Limit.InFlight + Node.Queue.Size;
}

milliseconds upstream_service::retryAfter() {
  // The jitter of up to the base time keeps refused callers from retrying at
  // the same moment.
  auto Base =
      std::max(MinRetryAfter,
               std::chrono::duration_cast<milliseconds>(Queue.longestWait()));
  auto Spread = static_cast<std::int64_t>(static_cast<double>(Base.count()) *
                                          Node.draw());
  return Base + milliseconds(Spread);
}

} // namespace figplank::node
