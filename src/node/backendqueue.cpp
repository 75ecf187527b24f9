#include "node/backendqueue.h"

#include <algorithm>

namespace figplank::node {
namespace {

using framework::monotonic_time;
using framework::readClocks;
using framework::refusal_reason;

/// Time reserved for a refusal to reach the entry.
constexpr framework::milliseconds RefusalMargin{10};
/// Fraction of its latency objective that a request may spend in the queue.
constexpr double QueueFractionOfObjective = 0.4;
/// Interval at which a request that waits for a rising limit looks whether it
/// still rises.
constexpr framework::milliseconds RampCheckInterval{20};

} // namespace

admission_permit::admission_permit(backend_queue &Queue)
    : Queue(Queue), Ticket(Queue.NextTicket++) {}

admission_permit::~admission_permit() {
  Queue.Permits.erase(Ticket);
  if (Queued && !Granted) {
    admission::removeTicket(Queue.Node.Queue, Ticket);
  }
  if (Granted) {
    admission::releaseSlot(Queue.Node.Limit, Result);
    Queue.grantFreeSlots();
  }
}

task<refusal_reason> backend_queue::awaitPermit(admission_permit &Permit,
                                                const work_request &Request) {
  bool Unlimited = Node.Settings.Admission == admission_mode::None;
  monotonic_time Now = readClocks().Monotonic;
  if (Unlimited || (Node.Queue.Size == 0 &&
                    admission::hasFreeSlot(Node.Limit, Request.Rank) &&
                    admission::hasToken(Node.RateLimit, Now))) {
    grant(Permit, Now);
    recordWait(Request.Rank, framework::microseconds(0));
    co_return refusal_reason::None;
  }
  auto Pair = kj::newPromiseAndFulfiller<refusal_reason>();
  Permit.Fulfiller = kj::mv(Pair.fulfiller);
  Permit.Queued = true;
  Permits[Permit.Ticket] = &Permit;
  auto Dropped = admission::enqueue(
      Node.Queue, {Permit.Ticket, Request.Rank, Request.Organisation,
                   Request.Depth, Now, Request.Deadline,
                   admission::serviceTimeOf(ServiceTimes, Request.Template)});
  if (Dropped) {
    drop(*Dropped);
  }
  grantFreeSlots();
  kj::Promise<refusal_reason> Timeout =
      awaitWaitLimit(queueWaitLimits(Request, Now), Now);
  kj::Promise<refusal_reason> Either =
      Pair.promise.exclusiveJoin(kj::mv(Timeout));
  refusal_reason Reason = co_await kj::mv(Either);
  // The waits of dropped requests count as well.
  recordWait(Request.Rank, readClocks().Monotonic - Now);
  co_return Reason;
}

task<refusal_reason> backend_queue::awaitWaitLimit(wait_limits Limits,
                                                   monotonic_time Now) {
  const bool HasServerLimit = Node.RateLimit.PerSecond.has_value();
  co_await Node.Timer.afterDelay(toDuration(Limits.Objective));
  // NOTE While the limit rises, the server has slots that are not used yet. A
  // refusal would be worse than the short wait for one of them.
  const monotonic_time End = Now + Limits.Deadline;
  while (!HasServerLimit && admission::isRamping(Node.Limit) &&
         readClocks().Monotonic < End) {
    framework::microseconds Left = End - readClocks().Monotonic;
    framework::microseconds Step =
        std::min<framework::microseconds>(Left, RampCheckInterval);
    co_await Node.Timer.afterDelay(toDuration(Step));
  }
  if (HasServerLimit) {
    co_return refusal_reason::ServerLimit;
  }
  co_return readClocks().Monotonic < End ? refusal_reason::Overload
                                         : refusal_reason::DeadlineUnreachable;
}

backend_queue::wait_limits
backend_queue::queueWaitLimits(const work_request &Request,
                               monotonic_time Now) const {
  if (!Request.Forwarded) {
    return {Request.Deadline - Now, Request.Deadline - Now};
  }
  // NOTE The refusal must reach the entry before the deadline. Otherwise the
  // entry has to report an unknown outcome.
  framework::microseconds Left =
      Request.Deadline - Now -
      admission::serviceTimeOf(ServiceTimes, Request.Template) - RefusalMargin;
  bool LimitedByObjective =
      Request.Depth == 0 && Request.LatencyObjective.count() > 0;
  auto ObjectiveWait = std::chrono::duration_cast<framework::microseconds>(
      Request.LatencyObjective * QueueFractionOfObjective);
  return {Left, LimitedByObjective ? std::min(Left, ObjectiveWait) : Left};
}

void backend_queue::grant(admission_permit &Permit, monotonic_time Now) {
  admission::acquireSlot(Node.Limit);
  admission::takeToken(Node.RateLimit, Now);
  Permit.Granted = true;
}

std::optional<std::uint8_t> backend_queue::leastUrgentRankWithFreeSlot() const {
  constexpr std::uint8_t LeastUrgent = configuration::RankCount - 1;
  if (admission::hasFreeSlot(Node.Limit, LeastUrgent)) {
    return LeastUrgent;
  }
  if (admission::hasFreeSlot(Node.Limit, Node.Limit.ReservedUpToRank)) {
    return Node.Limit.ReservedUpToRank;
  }
  return std::nullopt;
}

void backend_queue::drop(const admission::dropped_work &Dropped) {
  admission_permit *Permit = Permits[Dropped.Ticket];
  Permit->Queued = false;
  Permit->Fulfiller->fulfill(kj::cp(Dropped.Reason));
}

void backend_queue::dropAll(refusal_reason Reason) {
  std::vector<std::uint64_t> Tickets;
  for (const auto &[Ticket, Permit] : Permits) {
    if (Permit->Queued && !Permit->Granted) {
      Tickets.push_back(Ticket);
    }
  }
  for (std::uint64_t Ticket : Tickets) {
    admission::removeTicket(Node.Queue, Ticket);
    drop({Ticket, Reason});
  }
}

void backend_queue::grantFreeSlots() {
  while (Node.Queue.Size > 0) {
    monotonic_time Now = readClocks().Monotonic;
    auto LeastUrgentRank = leastUrgentRankWithFreeSlot();
    if (!LeastUrgentRank || !admission::hasToken(Node.RateLimit, Now)) {
      return;
    }
    admission::dequeue_result Found = admission::dequeue(
        Node.Queue, Node.MinimumShares, *LeastUrgentRank, Now);
    for (const admission::dropped_work &Dropped : Found.Dropped) {
      drop(Dropped);
    }
    if (!Found.Next) {
      return;
    }
    admission_permit *Permit = Permits[Found.Next->Ticket];
    grant(*Permit, Now);
    Permit->Fulfiller->fulfill(refusal_reason::None);
  }
}

void backend_queue::recordWait(std::uint8_t Rank,
                               framework::microseconds Waited) {
  std::optional<framework::microseconds> &MinWait = MinWaits[Rank];
  MinWait = std::min(MinWait.value_or(Waited), Waited);
  MaxWait = std::max(MaxWait, Waited);
  Node.Metrics.Timing.Queue->Observe(framework::inSeconds(Waited));
}

framework::microseconds backend_queue::standingDelay() const {
  // NOTE Urgent requests overtake the queue, so their waits do not reflect its
  // delay.
  framework::microseconds Standing{0};
  for (const auto &MinWait : MinWaits) {
    Standing = std::max(Standing, MinWait.value_or(Standing));
  }
  return Standing;
}

void backend_queue::advance(monotonic_time Now) {
  admission::advanceLimit(Node.Limit, Now);
  PeakInFlight = std::max(PeakInFlight, Node.Limit.PeakInFlight);
  admission::window_measurement Measurement{Node.Limit.Limit, standingDelay(),
                                            static_cast<double>(PeakInFlight)};
  if (admission::advanceShares(Node.Shares, Measurement, Node.MinimumShares,
                               Now)) {
    std::uint8_t ReservedRank = admission::mostUrgentRank(Node.Shares);
    admission::reserveSlots(Node.Limit, ReservedRank);
    MinWaits = {};
    MaxWait = framework::microseconds(0);
    PeakInFlight = 0;
  }
  grantFreeSlots();
}

} // namespace figplank::node
