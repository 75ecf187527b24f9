/// \file
/// The queue in front of the local backend server: which waiting request gets
/// the next free slot, and the control windows of limit and shares.
#pragma once

#include "admission/servicetimes.h"
#include "node/runtime.h"
#include "node/worktypes.h"

#include <array>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace figplank::node {

class backend_queue;

/// A request's place in the queue and later its concurrency slot at the backend
/// server. The destructor releases whichever is held.
class admission_permit {
public:
  explicit admission_permit(backend_queue &Queue);
  ~admission_permit();
  KJ_DISALLOW_COPY(admission_permit);

  backend_queue &Queue;
  std::uint64_t Ticket;
  bool Queued = false;
  bool Granted = false;
  admission::run_result Result = admission::run_result::Cancelled;
  kj::Own<kj::PromiseFulfiller<framework::refusal_reason>> Fulfiller;
};

class backend_queue {
public:
  /// \p ServiceTimes must outlive the queue.
  backend_queue(node_runtime &Node,
                const admission::service_times &ServiceTimes)
      : Node(Node), ServiceTimes(ServiceTimes) {}
  KJ_DISALLOW_COPY(backend_queue);

  /// Waits for a slot. Returns why there is none, or None when \p Permit holds
  /// one.
  task<framework::refusal_reason> awaitPermit(admission_permit &Permit,
                                              const work_request &Request);

  /// Refuses all waiting requests for \p Reason.
  void dropAll(framework::refusal_reason Reason);

  /// Closes the control windows that have ended and grants free slots.
  void advance(framework::monotonic_time Now);

  /// Longest wait of a request that left the queue in this window.
  framework::microseconds longestWait() const { return MaxWait; }

private:
  friend class admission_permit;

  /// The least urgent rank that has a free slot now; nothing if no rank has.
  std::optional<std::uint8_t> leastUrgentRankWithFreeSlot() const;
  /// How long a request may wait in the queue.
  struct wait_limits {
    /// Until it could not end before its deadline.
    framework::microseconds Deadline{0};
    /// Until others are more likely to meet their latency objectives; at most
    /// as long.
    framework::microseconds Objective{0};
  };
  wait_limits queueWaitLimits(const work_request &Request,
                              framework::monotonic_time Now) const;
  /// Waits for as long as a request may. Returns why it is refused then.
  task<framework::refusal_reason> awaitWaitLimit(wait_limits Limits,
                                                 framework::monotonic_time Now);
  void drop(const admission::dropped_work &Dropped);
  /// Gives \p Permit a free slot and counts its request as sent.
  void grant(admission_permit &Permit, framework::monotonic_time Now);
  void grantFreeSlots();
  void recordWait(std::uint8_t Rank, framework::microseconds Waited);
  /// Delay of the standing queue: the highest of the ranks' minimum waits in
  /// this window.
  framework::microseconds standingDelay() const;

  node_runtime &Node;
  const admission::service_times &ServiceTimes;
  std::uint64_t NextTicket = 1;
  std::unordered_map<std::uint64_t, admission_permit *> Permits;
  /// Minimum wait of each rank, and maximum wait over all ranks, of the
  /// requests that left the queue in this window.
  std::array<std::optional<framework::microseconds>, configuration::RankCount>
      MinWaits;
  framework::microseconds MaxWait{0};
  std::uint32_t PeakInFlight = 0;
};

} // namespace figplank::node
