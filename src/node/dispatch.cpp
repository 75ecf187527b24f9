#include "node/dispatch.h"

#include "node/decisionlog.h"

#include <algorithm>

namespace figplank::node {
namespace {

using framework::milliseconds;
using framework::monotonic_time;
using framework::outcome;
using framework::readClocks;
using framework::refusal_reason;
using retry::retry_reason;

retry_reason retryReasonOf(refusal_reason Reason) {
  switch (Reason) {
  case refusal_reason::BackendShed:
    return retry_reason::BackendShed;
  case refusal_reason::BackendUnreachable:
    return retry_reason::BackendUnreachable;
  case refusal_reason::BackendFailed:
    return retry_reason::BackendFailed;
  case refusal_reason::ConnectionLost:
    return retry_reason::ConnectionLost;
  case refusal_reason::HomeMoved:
    return retry_reason::HomeMoved;
  default:
    return retry_reason::UpstreamRefused;
  }
}

/// Whether \p Request may be sent again though it may have run: it is
/// idempotent, or the home of its id detects copies.
bool isRepeatable(const work_request &Request) {
  return Request.Idempotent || hasHome(Request);
}

void giveUpAnswerRoom(const work_request &Request) {
  if (Request.AnswerRoom != nullptr) {
    Request.AnswerRoom->release();
  }
}

/// Maximum number of upstreams that a request of a route is sent to without
/// using its retry budget, as long as it reaches no backend server.
constexpr std::size_t MaxUpstreamsTried = 4;

/// Whether the request may have reached a backend server. The retry budget
/// limits the load on backend servers.
bool reachedBackend(const work_answer &Answer) {
  return Answer.Outcome != outcome::NotRun ||
         Answer.Reason == refusal_reason::BackendShed ||
         Answer.Reason == refusal_reason::WrongInstance;
}

} // namespace

dispatcher::dispatcher(node_runtime &Node, peer_pool &Peers,
                       upstream_service &LocalUpstream)
    : Node(Node), Peers(Peers), LocalUpstream(LocalUpstream) {}

retry::retry_token_bucket &
dispatcher::retryTokensOf(const std::string &Service) {
  return Node.RetryTokenBuckets.try_emplace(Service, Node.InitialRetryTokens)
      .first->second;
}

milliseconds dispatcher::retryAfter(milliseconds Objective) {
  // The jitter keeps refused callers from retrying at the same moment.
  constexpr milliseconds DefaultRetryAfter{200};
  constexpr double SpreadFactor = 4.0;
  constexpr int ObjectiveDivisor = 4;
  if (Objective.count() > 0) {
    auto Base = static_cast<double>(Objective.count()) / ObjectiveDivisor;
    return milliseconds(static_cast<std::int64_t>(Base * (1 + Node.draw())));
  }
  return DefaultRetryAfter +
         milliseconds(static_cast<std::int64_t>(
             SpreadFactor * DefaultRetryAfter.count() * Node.draw()));
}

task<work_answer> dispatcher::dispatchRoot(work_request Request) {
  if (!Node.Condition.Ready) {
    co_return makeRefusal(refusalOutcome(Request),
                          refusal_reason::NoConfiguration);
  }
  bool Coordinated = Node.Settings.Admission == admission_mode::Coordinated;
  if (Coordinated) {
    double Share =
        admission::chainShareOf(Node.ChainShares, Request.Template,
                                Request.Organisation, readClocks().Monotonic);
    Request.SamplingWeight = 1.0 / Share;
    if (!hasHome(Request) && !admission::isAdmitted(Request.Draw, Share, 0)) {
      work_answer Refused =
          makeRefusal(outcome::NotRun, refusal_reason::Overload);
      Refused.RetryAfter = retryAfter(Request.LatencyObjective);
      Refused.ChainShare = Share;
      logEntryRefusal(Request, Share, readClocks().Monotonic);
      co_return kj::mv(Refused);
    }
  }
  work_answer Answer = co_await dispatch(kj::mv(Request));
  co_return kj::mv(Answer);
}

task<work_answer>
dispatcher::dispatchChild(work_request Request,
                          std::shared_ptr<call_context> Parent) {
  retry::retry_budget ChildBudget = retry::takeChildBudget(Parent->Budget);
  Request.ExtraTries = ChildBudget.ExtraTries;
  work_answer Answer = co_await dispatch(kj::mv(Request));
  std::uint8_t Unused = std::min(Answer.UnusedTries, ChildBudget.ExtraTries);
  retry::returnUnusedTries(Parent->Budget, {Unused});
  Parent->MinChildShare = std::min(Parent->MinChildShare, Answer.ChainShare);
  Parent->ChildFailed |= Answer.Outcome != outcome::Completed;
  co_return kj::mv(Answer);
}

task<work_answer> dispatcher::dispatch(work_request Request) {
  const std::string Template = Request.Template;
  const std::string Organisation = Request.Organisation;
  const bool Idempotent = Request.Idempotent;
  const monotonic_time Deadline = Request.Deadline;
  Node.Metrics.FirstTries->Increment();
  retry::countFirstTry(retryTokensOf(Request.Service));
  work_answer Answer;
  if (hasHome(Request)) {
    Answer = co_await dispatchToHome(kj::mv(Request));
  } else {
    Answer = co_await dispatchToAny(kj::mv(Request));
  }
  monotonic_time Now = readClocks().Monotonic;
  admission::recordChainShare(Node.ChainShares, Template, Organisation,
                              Answer.ChainShare, Now);
  if (Idempotent && Now > Deadline) {
    Node.Metrics.StaleAnswers->Increment();
    work_answer Expired =
        makeRefusal(outcome::Unknown, refusal_reason::DeadlinePassed);
    Expired.Upstream = kj::mv(Answer.Upstream);
    Expired.SendAttempts = Answer.SendAttempts;
    Expired.Load = Answer.Load;
    Answer = kj::mv(Expired);
  }
  co_return kj::mv(Answer);
}

task<work_answer> dispatcher::dispatchToAny(work_request Request) {
  retry::retry_budget Budget{Request.ExtraTries};
  std::vector<std::string> TriedAddresses;
  bool MayHaveRun = false;
  work_answer Answer = makeRefusal(outcome::NotRun, refusal_reason::NoUpstream);
  for (unsigned Retry = 1;; ++Retry) {
    monotonic_time Now = readClocks().Monotonic;
    const std::vector<routing::candidate> &Candidates = routing::candidatesOf(
        CandidateLists, Node.Store.Catalog, Request.Service);
    const routing::candidate *Chosen = routing::chooseUpstream(
        Node.Upstreams, Candidates, Node.Settings.Zone, TriedAddresses,
        {Node.draw(), Node.draw()}, Now);
    if (Chosen == nullptr) {
      break;
    }
    std::string Address = Chosen->Address;
    TriedAddresses.push_back(Address);
    work_request Sent = Request;
    if (Sent.Forwarded) {
      Sent.Forwarded->ExpectedInstance = Chosen->Name;
    }
    Sent.ExtraTries = retry::takeChildBudget(Budget).ExtraTries;
    attempt_result LastAttempt = co_await sendToUpstream(Address, kj::mv(Sent));
    const routing::incarnation &Leaving = LastAttempt.Answer.Load.Leaving;
    if (!Leaving.Name.empty()) {
      routing::recordLeaving(Node.Upstreams, Address, Leaving);
    }
    if (LastAttempt.Answer.Outcome == outcome::Completed) {
      monotonic_time End = readClocks().Monotonic;
      routing::recordLatency(Node.Upstreams, Address, Request.Template,
                             End - Now, End);
    }
    Node.Metrics.Timing.Hop->Observe(
        framework::inSeconds(readClocks().Monotonic - Now));
    retry::returnUnusedTries(Budget, {LastAttempt.Answer.UnusedTries});
    MayHaveRun |= LastAttempt.MayHaveRun;
    Answer = kj::mv(LastAttempt.Answer);
    bool IsFreeRetry = Request.Forwarded && !reachedBackend(Answer) &&
                       TriedAddresses.size() < MaxUpstreamsTried;
    bool Granted =
        Answer.MayRetry &&
        (IsFreeRetry || acquireRetry(Request, Budget, LastAttempt.Reason,
                                     readClocks().Monotonic));
    if (!Granted) {
      break;
    }
    if (IsFreeRetry) {
      countRetry(Node.Metrics, LastAttempt.Reason);
    }
    logRetry(Request, Address,
             framework::nameOf(retry::RetryReasonNames, LastAttempt.Reason),
             Answer, readClocks().Monotonic);
    bool InTime = co_await backOff(Retry, milliseconds(0), Request.Deadline);
    if (!InTime) {
      break;
    }
  }
  if (Answer.Outcome == outcome::NotRun && MayHaveRun) {
    Answer.Outcome = outcome::Unknown;
  }
  Answer.UnusedTries = Budget.ExtraTries;
  Answer.MayRetry = false;
  Answer.SendAttempts = static_cast<std::uint8_t>(
      std::min<std::size_t>(TriedAddresses.size(), UINT8_MAX));
  if (!TriedAddresses.empty()) {
    Answer.Upstream = TriedAddresses.back();
  }
  co_return kj::mv(Answer);
}

void dispatcher::recordUpstreamFailure(const std::string &Address,
                                       monotonic_time Now) {
  routing::recordFailure(Node.Upstreams, Address, Now);
  const routing::upstream_view &View =
      Node.Upstreams.Views.find(Address)->second;
  if (View.ConsecutiveFailures == 1) {
    logUpstreamState("upstream_failed", Address, Now);
  }
}

void dispatcher::recordUpstreamAnswer(const std::string &Address,
                                      const routing::reported_load &Load,
                                      monotonic_time Now) {
  auto Known = Node.Upstreams.Views.find(Address);
  bool WasFailing = Known != Node.Upstreams.Views.end() &&
                    Known->second.ConsecutiveFailures > 0;
  routing::recordAnswer(Node.Upstreams, Address, Load, Now);
  if (WasFailing) {
    logUpstreamState("upstream_recovered", Address, Now);
  }
}

task<work_answer> dispatcher::dispatchToHome(work_request Request) {
  retry::retry_budget Budget{Request.ExtraTries};
  work_answer Answer =
      makeRefusal(outcome::Unknown, refusal_reason::NoUpstream);
  for (unsigned Retry = 1;; ++Retry) {
    auto Service = Node.Store.Catalog.Services.find(Request.Service);
    if (Service == Node.Store.Catalog.Services.end()) {
      break;
    }
    const configuration::roster_member *Home =
        execution::homeOf(*Request.Id, Service->second.Roster);
    std::string Address = Home->Address;
    work_request Sent = Request;
    Sent.ExtraTries = retry::takeChildBudget(Budget).ExtraTries;
    attempt_result LastAttempt = co_await sendToUpstream(Address, kj::mv(Sent));
    retry::returnUnusedTries(Budget, {LastAttempt.Answer.UnusedTries});
    Answer = kj::mv(LastAttempt.Answer);
    if (!LastAttempt.Answered) {
      Answer = makeRefusal(outcome::Unknown,
                           Answer.Reason == refusal_reason::UpstreamUnreachable
                               ? refusal_reason::HomeUnreachable
                               : Answer.Reason);
      Answer.MayRetry = true;
    }
    // NOTE A retry goes to the home of the same id, which detects copies, so
    // it cannot run the request twice.
    if (!Answer.MayRetry || !acquireRetry(Request, Budget, LastAttempt.Reason,
                                          readClocks().Monotonic)) {
      break;
    }
    bool InTime = co_await backOff(Retry, Answer.RetryAfter, Request.Deadline);
    if (!InTime) {
      break;
    }
  }
  Answer.UnusedTries = Budget.ExtraTries;
  Answer.MayRetry = false;
  co_return kj::mv(Answer);
}

bool dispatcher::acquireRetry(const work_request &Request,
                              retry::retry_budget &Budget, retry_reason Reason,
                              monotonic_time Now) {
  if (Now >= Request.Deadline) {
    return false;
  }
  bool Granted = retry::takeRetry(Budget, retryTokensOf(Request.Service));
  if (Granted) {
    countRetry(Node.Metrics, Reason);
  }
  return Granted;
}

task<bool> dispatcher::backOff(unsigned Retry, milliseconds RetryAfter,
                               monotonic_time Deadline) {
  milliseconds Delay =
      retry::backoffDelay(Backoff, Retry, Node.draw(), RetryAfter);
  if (readClocks().Monotonic + Delay >= Deadline) {
    co_return false;
  }
  co_await Node.Timer.afterDelay(toDuration(Delay));
  co_return true;
}

task<dispatcher::attempt_result>
dispatcher::sendToUpstream(std::string Address, work_request Request) {
  attempt_result Result;
  if (Address == Node.Settings.RpcAddress) {
    const bool Idempotent = Request.Idempotent;
    const monotonic_time Deadline = Request.Deadline;
    // This node charges the answer as it comes from the server.
    giveUpAnswerRoom(Request);
    try {
      kj::Promise<work_answer> Running = LocalUpstream.execute(kj::mv(Request));
      kj::Promise<work_answer> Timed = Node.Timer.timeoutAfter(
          toDuration(Deadline - readClocks().Monotonic), kj::mv(Running));
      Result.Answer = co_await kj::mv(Timed);
    } catch (const kj::Exception &Exception) {
      bool TimedOut = Exception.getType() == kj::Exception::Type::OVERLOADED;
      if (!TimedOut) {
        framework::logEvent(framework::log_level::Error, "local_run_failed",
                            {{"error", Exception.getDescription().cStr()}});
      }
      Result.Answer = makeRefusal(outcome::Unknown,
                                  TimedOut ? refusal_reason::DeadlinePassed
                                           : refusal_reason::ConnectionLost);
    }
    Result.Answered = true;
    Result.MayHaveRun = Result.Answer.Outcome != outcome::NotRun && Idempotent;
  } else {
    Result = co_await sendToRemote(Address, kj::mv(Request));
  }
  if (Result.Answered) {
    Result.Reason = retryReasonOf(Result.Answer.Reason);
  }
  co_return kj::mv(Result);
}

task<dispatcher::attempt_result>
dispatcher::sendToRemote(std::string Address, work_request Request) {
  attempt_result Result;
  routing::recordStart(Node.Upstreams, Address);
  bool Ended = false;
  KJ_DEFER(if (!Ended) { routing::recordEnd(Node.Upstreams, Address); });
  bool EverAnswered = false;
  connection_result Connected = co_await Peers.connect(Address);
  call_failure Failure = Connected.Error.Failure;
  KJ_IF_MAYBE (Connection, Connected.Value) {
    EverAnswered = (*Connection)->EverAnswered;
    framework::memory_charge Charge(&Node.Messages,
                                    framework::memory_class::Bodies);
    bool InTime = co_await awaitMessageRoom(Node, Charge, Request.Body.size(),
                                            Request.Deadline);
    if (!InTime) {
      Ended = true;
      routing::recordEnd(Node.Upstreams, Address);
      Result.Answer =
          makeRefusal(refusalOutcome(Request), refusal_reason::MemoryShort);
      Result.Answer.UnusedTries = Request.ExtraTries;
      Result.Answered = true;
      co_return kj::mv(Result);
    }
    auto Message = KJ_ASSERT_NONNULL((*Connection)->Client).runRequest();
    std::uint64_t Attempt = NextAttempt++;
    writeRequest(Message.initRequest(), Request, Attempt,
                 readClocks().Monotonic);
    if (Charge.bytes() > 0) {
      (*Connection)->UnwrittenMessages.push_back(std::move(Charge));
    }
    auto Called = co_await Peers.call(
        kj::mv(*Connection), kj::mv(Message), Request.Deadline,
        isRepeatable(Request) ? silence_policy::Fail : silence_policy::Wait);
    Failure = Called.Error.Failure;
    giveUpAnswerRoom(Request);
    KJ_IF_MAYBE (Response, Called.Value) {
      auto Answer = readAnswer(Response->getAnswer(), Attempt, Node.Memory);
      if (Answer) {
        Result.Answer = kj::mv(*Answer);
        Result.Answered = true;
      } else {
        Failure = call_failure::ConnectionLost;
        Node.Metrics.MalformedMessages->Increment();
      }
    }
  }
  Ended = true;
  monotonic_time Now = readClocks().Monotonic;
  if (Result.Answered) {
    Result.MayHaveRun = Result.Answer.Outcome != outcome::NotRun;
    recordUpstreamAnswer(Address, Result.Answer.Load, Now);
    co_return kj::mv(Result);
  }
  // Where the connection has carried answers before, the failure may concern
  // only the connection. The upstream is avoided only if a new connection
  // fails as well.
  if (Failure == call_failure::NotSent ||
      (Failure == call_failure::ConnectionLost && !EverAnswered)) {
    recordUpstreamFailure(Address, Now);
  } else {
    routing::recordEnd(Node.Upstreams, Address);
  }
  Result.MayHaveRun = Failure != call_failure::NotSent;
  switch (Failure) {
  case call_failure::NotSent:
    Result.Answer =
        makeRefusal(outcome::NotRun, refusal_reason::UpstreamUnreachable);
    Result.Reason = retry_reason::UpstreamUnreachable;
    break;
  case call_failure::ConnectionLost:
    // On a connection that never carried an answer, the upstream may never have
    // received anything.
    Result.Answer = makeRefusal(
        outcome::Unknown, EverAnswered ? refusal_reason::ConnectionLost
                                       : refusal_reason::UpstreamUnreachable);
    Result.Reason = EverAnswered ? retry_reason::ConnectionLost
                                 : retry_reason::UpstreamUnreachable;
    break;
  case call_failure::TimedOut:
    Result.Answer =
        makeRefusal(outcome::Unknown, refusal_reason::DeadlinePassed);
    break;
  }
  // If nothing was sent, no extra attempt was used below this node. Otherwise
  // all may have been used.
  Result.Answer.UnusedTries =
      Failure == call_failure::NotSent ? Request.ExtraTries : 0;
  Result.Answer.MayRetry = Failure != call_failure::TimedOut &&
                           (isRepeatable(Request) || !Result.MayHaveRun);
  co_return kj::mv(Result);
}

} // namespace figplank::node
