#include "admission/workqueue.h"

#include <algorithm>

namespace figplank::admission {
namespace {

using framework::monotonic_time;
using framework::refusal_reason;

using lane_list = std::deque<organisation_lane>;

void addToLane(lane_list &Lanes, queued_work Work) {
  auto Found = std::find_if(Lanes.begin(), Lanes.end(),
                            [&](const organisation_lane &Lane) {
                              return Lane.Organisation == Work.Organisation;
                            });
  if (Found == Lanes.end()) {
    Lanes.push_back({Work.Organisation, {}});
    Found = std::prev(Lanes.end());
  }
  Found->Waiting.push_back(std::move(Work));
}

/// The lane with the most waiting requests, whose newest is dropped first.
organisation_lane *longestLane(lane_list &Lanes) {
  organisation_lane *Longest = nullptr;
  for (organisation_lane &Lane : Lanes) {
    if (Longest == nullptr || Lane.Waiting.size() > Longest->Waiting.size()) {
      Longest = &Lane;
    }
  }
  return Longest;
}

void eraseEmptyLanes(lane_list &Lanes) {
  std::erase_if(Lanes, [](const organisation_lane &Lane) {
    return Lane.Waiting.empty();
  });
}

std::uint64_t dropNewestOfLeastUrgent(work_queue &Queue) {
  for (std::size_t Rank = RankCount; Rank-- > 0;) {
    rank_queue &Ranked = Queue.Ranks[Rank];
    if (Ranked.Size == 0) {
      continue;
    }
    lane_list &Lanes = Ranked.Fresh.empty() ? Ranked.Invested : Ranked.Fresh;
    organisation_lane *Lane = longestLane(Lanes);
    std::uint64_t Ticket = Lane->Waiting.back().Ticket;
    Lane->Waiting.pop_back();
    eraseEmptyLanes(Lanes);
    --Ranked.Size;
    --Queue.Size;
    return Ticket;
  }
  return 0;
}

/// Dispatches that a waiting rank collects for each one of another rank, in
/// terms of its minimum share. Admission already bounds how much of the rank
/// comes in; what was admitted should not wait behind more urgent work until
/// its deadline has passed.
constexpr double CreditPerShare = 3.0;
constexpr double MaxCredit = 2.0;

/// Settles the credits after a dispatch of rank \p Served.
void settleCredits(work_queue &Queue, std::size_t Served,
                   const std::array<double, RankCount> &MinimumShares) {
  for (std::size_t Rank = 0; Rank < RankCount; ++Rank) {
    rank_queue &Ranked = Queue.Ranks[Rank];
    if (Rank == Served) {
      Ranked.Credit = std::max(0.0, Ranked.Credit - 1.0);
    } else if (Ranked.Size == 0) {
      Ranked.Credit = 0.0;
    } else {
      double More = Ranked.Credit + CreditPerShare * MinimumShares[Rank];
      Ranked.Credit = std::min(More, MaxCredit);
    }
  }
}

/// The rank whose turn it is: one that has collected a dispatch, or the most
/// urgent one up to \p LastRank. RankCount if there is none.
std::size_t nextRank(work_queue &Queue, std::size_t LastRank) {
  std::size_t Chosen = RankCount;
  for (std::size_t Rank = RankCount; Rank-- > 0;) {
    bool Waits = Queue.Ranks[Rank].Size > 0;
    Chosen = Waits && Rank <= LastRank ? Rank : Chosen;
  }
  for (std::size_t Rank = 0; Rank < RankCount; ++Rank) {
    if (Queue.Ranks[Rank].Size > 0 && Queue.Ranks[Rank].Credit >= 1.0) {
      return Rank;
    }
  }
  return Chosen;
}

queued_work takeFrom(work_queue &Queue, std::size_t Rank, monotonic_time Now) {
  rank_queue &Ranked = Queue.Ranks[Rank];
  lane_list &Lanes = Ranked.Invested.empty() ? Ranked.Fresh : Ranked.Invested;
  organisation_lane Lane = std::move(Lanes.front());
  Lanes.pop_front();
  bool NewestFirst =
      Now - Lane.Waiting.front().Enqueued > Queue.Settings.TargetDelay;
  queued_work Work = NewestFirst ? std::move(Lane.Waiting.back())
                                 : std::move(Lane.Waiting.front());
  if (NewestFirst) {
    Lane.Waiting.pop_back();
  } else {
    Lane.Waiting.pop_front();
  }
  if (!Lane.Waiting.empty()) {
    Lanes.push_back(std::move(Lane));
  }
  --Ranked.Size;
  --Queue.Size;
  return Work;
}

bool removeFromLanes(lane_list &Lanes, std::uint64_t Ticket) {
  for (organisation_lane &Lane : Lanes) {
    auto Found = std::find_if(
        Lane.Waiting.begin(), Lane.Waiting.end(),
        [&](const queued_work &Work) { return Work.Ticket == Ticket; });
    if (Found != Lane.Waiting.end()) {
      Lane.Waiting.erase(Found);
      eraseEmptyLanes(Lanes);
      return true;
    }
  }
  return false;
}

} // namespace

std::optional<dropped_work> enqueue(work_queue &Queue, queued_work Work) {
  rank_queue &Ranked =
      Queue.Ranks[std::min<std::size_t>(Work.Rank, RankCount - 1)];
  addToLane(Work.Depth > 0 ? Ranked.Invested : Ranked.Fresh, std::move(Work));
  ++Ranked.Size;
  ++Queue.Size;
  if (Queue.Size <= Queue.Settings.MaxQueued) {
    return std::nullopt;
  }
  return dropped_work{dropNewestOfLeastUrgent(Queue),
                      refusal_reason::QueueFull};
}

dequeued_work dequeue(work_queue &Queue,
                      const std::array<double, RankCount> &MinimumShares,
                      std::uint8_t LastRank, monotonic_time Now) {
  dequeued_work Result;
  while (Queue.Size > 0) {
    std::size_t Rank = nextRank(Queue, LastRank);
    if (Rank == RankCount) {
      break;
    }
    queued_work Work = takeFrom(Queue, Rank, Now);
    settleCredits(Queue, Rank, MinimumShares);
    if (Now + Work.ServiceTime <= Work.Deadline) {
      Result.Next = std::move(Work);
      break;
    }
    Result.Dropped.push_back(
        {Work.Ticket, Now >= Work.Deadline
                          ? refusal_reason::DeadlinePassed
                          : refusal_reason::DeadlineUnreachable});
  }
  return Result;
}

bool removeTicket(work_queue &Queue, std::uint64_t Ticket) {
  for (rank_queue &Ranked : Queue.Ranks) {
    if (removeFromLanes(Ranked.Invested, Ticket) ||
        removeFromLanes(Ranked.Fresh, Ticket)) {
      --Ranked.Size;
      --Queue.Size;
      return true;
    }
  }
  return false;
}

bool canMeetDeadline(const work_queue &Queue, std::uint8_t Rank,
                     framework::microseconds ServiceTime, double Limit,
                     monotonic_time Deadline, monotonic_time Now) {
  std::size_t Ahead = 0;
  for (std::size_t I = 0; I <= Rank && I < RankCount; ++I) {
    Ahead += Queue.Ranks[I].Size;
  }
  double Wait = static_cast<double>(Ahead) *
                static_cast<double>(ServiceTime.count()) / Limit;
  auto Expected =
      framework::microseconds(static_cast<std::int64_t>(Wait)) + ServiceTime;
  return Now + Expected <= Deadline;
}

} // namespace figplank::admission
