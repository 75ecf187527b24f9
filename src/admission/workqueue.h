/// \file
/// The short queue in front of one backend server.
///
/// Requests are dispatched by these criteria, in this order:
/// - The most urgent rank first, but a waiting rank earns credit for dispatches
///   according to its minimum share.
/// - Nested calls before root requests, since other services of the call chain
///   have already worked on them.
/// - Round robin among the organisations.
/// - First in, first out, or newest first once the oldest request of the
///   organisation has waited longer than the target, since under overload the
///   callers of the oldest requests are the most likely to have given up.
#pragma once

#include "configuration/configurationtypes.h"
#include "framework/outcome.h"
#include "framework/timetypes.h"

#include <array>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace figplank::admission {

using configuration::RankCount;

/// One waiting request.
struct queued_work {
  /// Identifies the request to the caller of the queue.
  std::uint64_t Ticket = 0;
  std::uint8_t Rank = 0;
  std::string Organisation;
  /// 0 for a root request, greater for the nested calls made to serve it.
  std::uint8_t Depth = 0;
  framework::monotonic_time Enqueued;
  framework::monotonic_time Deadline;
  /// Expected service time at the backend server.
  framework::microseconds ServiceTime{0};
};

struct queue_settings {
  std::size_t MaxQueued = 64;
  /// Waiting time of the oldest request above which the newest is dispatched
  /// first.
  framework::milliseconds TargetDelay{20};
};

/// The waiting requests of one organisation.
struct organisation_queue {
  std::string Organisation;
  std::deque<queued_work> Waiting;
};

/// The waiting requests of one rank. Both lists hold the organisations in the
/// order of their next turn.
struct rank_queue {
  std::deque<organisation_queue> NestedCalls;
  std::deque<organisation_queue> RootRequests;
  std::size_t Size = 0;
  /// Dispatches that the rank may make out of turn, earned by its minimum
  /// share.
  double Credit = 0.0;
};

struct work_queue {
  queue_settings Settings;
  std::array<rank_queue, RankCount> Ranks;
  std::size_t Size = 0;
};

/// A request that was removed from the queue without being dispatched.
struct dropped_work {
  std::uint64_t Ticket = 0;
  framework::refusal_reason Reason = framework::refusal_reason::None;
};

/// Adds \p Work. If the queue then exceeds MaxQueued, drops a request of the
/// least urgent rank and returns it: the newest one of the organisation with
/// the most waiting requests, root requests before nested calls. The dropped
/// request may be \p Work itself.
std::optional<dropped_work> enqueue(work_queue &Queue, queued_work Work);

/// Result of dequeue.
struct dequeue_result {
  std::optional<queued_work> Next;
  /// Requests removed because they could no longer meet their deadlines.
  std::vector<dropped_work> Dropped;
};

/// Removes and returns the next request that can still meet its deadline. Its
/// rank is \p MaxRank or more urgent, or has a credit of at least 1.
dequeue_result dequeue(work_queue &Queue,
                       const std::array<double, RankCount> &MinimumShares,
                       std::uint8_t MaxRank, framework::monotonic_time Now);

/// Removes the request with \p Ticket, for example because its caller has
/// disconnected. Returns whether it was in the queue.
bool removeTicket(work_queue &Queue, std::uint64_t Ticket);

/// Number of waiting requests of \p Rank and more urgent ones.
std::size_t countAhead(const work_queue &Queue, std::uint8_t Rank);

/// Whether a request of \p Rank that arrives at \p Now can meet \p Deadline if
/// all waiting requests of this rank and more urgent ones are served first,
/// with \p Limit requests running concurrently.
bool canMeetDeadline(const work_queue &Queue, std::uint8_t Rank,
                     framework::microseconds ServiceTime, double Limit,
                     framework::monotonic_time Deadline,
                     framework::monotonic_time Now);

} // namespace figplank::admission
