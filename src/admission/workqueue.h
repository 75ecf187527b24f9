/// \file
/// The short queue before one backend server.
///
/// Order: rank, but a waiting rank collects its minimum share of the
/// dispatches; then work in which the chain has already invested; then
/// organisations in turn; then first come, or newest first once the wait
/// exceeds the target, since under overload the oldest are the least likely
/// to be still wanted.
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
  /// Names the request to the caller of the queue.
  std::uint64_t Ticket = 0;
  std::uint8_t Rank = 0;
  std::string Organisation;
  /// Depth of the call below the entry; more than 0 means invested work.
  std::uint8_t Depth = 0;
  framework::monotonic_time Enqueued;
  framework::monotonic_time Deadline;
  /// Expected time at the backend server.
  framework::microseconds ServiceTime{0};
};

struct queue_settings {
  std::size_t MaxQueued = 64;
  /// Wait beyond which the newest goes first.
  framework::milliseconds TargetDelay{20};
};

/// The waiting requests of one organisation.
struct organisation_lane {
  std::string Organisation;
  std::deque<queued_work> Waiting;
};

/// The lanes of a rank in the order of their next turn; invested work stands
/// in lanes of its own.
struct rank_queue {
  std::deque<organisation_lane> Invested;
  std::deque<organisation_lane> Fresh;
  std::size_t Size = 0;
  /// Dispatches owed by the minimum share.
  double Credit = 0.0;
};

struct work_queue {
  queue_settings Settings;
  std::array<rank_queue, RankCount> Ranks;
  std::size_t Size = 0;
};

/// A request that will not be run and why.
struct dropped_work {
  std::uint64_t Ticket = 0;
  framework::refusal_reason Reason = framework::refusal_reason::None;
};

/// Adds \p Work. A full queue drops the newest request of the least urgent
/// rank, which may be \p Work itself.
std::optional<dropped_work> enqueue(work_queue &Queue, queued_work Work);

/// What dequeue found.
struct dequeued_work {
  std::optional<queued_work> Next;
  /// Requests that could no longer meet their deadlines.
  std::vector<dropped_work> Dropped;
};

/// Takes the next request that can still meet its deadline: of rank
/// \p LastRank or more urgent, or of a rank that has collected a dispatch.
dequeued_work dequeue(work_queue &Queue,
                      const std::array<double, RankCount> &MinimumShares,
                      std::uint8_t LastRank, framework::monotonic_time Now);

/// Removes a request whose caller has gone. Returns whether it waited.
bool removeTicket(work_queue &Queue, std::uint64_t Ticket);

/// Whether a request of \p Rank that arrives now can meet \p Deadline behind
/// the requests that would be served before it, \p Limit at a time.
bool canMeetDeadline(const work_queue &Queue, std::uint8_t Rank,
                     framework::microseconds ServiceTime, double Limit,
                     framework::monotonic_time Deadline,
                     framework::monotonic_time Now);

} // namespace figplank::admission
