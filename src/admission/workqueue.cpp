#include "admission/workqueue.h"

#include <algorithm>

namespace figplank::admission {
namespace {

using framework::monotonic_time;
using framework::refusal_reason;

using organisation_queue_list = std::deque<organisation_queue>;

void addToOrganisationQueue(organisation_queue_list &Queues, queued_work Work) {
  auto Found =
      std::find_if(Queues.begin(), Queues.end(),
                   [&](const organisation_queue &OrganisationQueue) {
                     return OrganisationQueue.Organisation == Work.Organisation;
                   });
  if (Found == Queues.end()) {
    Queues.push_back({Work.Organisation, {}});
    Found = std::prev(Queues.end());
  }
  Found->Waiting.push_back(std::move(Work));
}

/// The queue with the most waiting requests, from which requests are dropped
/// first.
organisation_queue *longestQueue(organisation_queue_list &Queues) {
  organisation_queue *Longest = nullptr;
  for (organisation_queue &OrganisationQueue : Queues) {
    if (Longest == nullptr ||
        OrganisationQueue.Waiting.size() > Longest->Waiting.size()) {
      Longest = &OrganisationQueue;
    }
  }
  return Longest;
}

void eraseEmptyQueues(organisation_queue_list &Queues) {
  std::erase_if(Queues, [](const organisation_queue &OrganisationQueue) {
    return OrganisationQueue.Waiting.empty();
  });
}

std::uint64_t dropNewestOfLeastUrgentRank(work_queue &Queue) {
  for (std::size_t Rank = RankCount; Rank-- > 0;) {
    rank_queue &RankQueue = Queue.Ranks[Rank];
    if (RankQueue.Size == 0) {
      continue;
    }
    organisation_queue_list &Queues = RankQueue.RootRequests.empty()
                                          ? RankQueue.NestedCalls
                                          : RankQueue.RootRequests;
    organisation_queue *OrganisationQueue = longestQueue(Queues);
    std::uint64_t Ticket = OrganisationQueue->Waiting.back().Ticket;
    OrganisationQueue->Waiting.pop_back();
    eraseEmptyQueues(Queues);
    --RankQueue.Size;
    --Queue.Size;
    return Ticket;
  }
  return 0;
}

/// Credit that a waiting rank earns for each dispatch of another rank, as a
/// multiple of its minimum share. One credit pays for one dispatch. Admission
/// already limits how many requests of the rank arrive; the factor keeps the
/// admitted ones from waiting behind more urgent ones past their deadlines.
constexpr double CreditFactor = 3.0;
constexpr double MaxCredit = 2.0;

/// Updates the credits of all ranks after a dispatch of rank \p ServedRank.
void updateCredits(work_queue &Queue, std::size_t ServedRank,
                   const std::array<double, RankCount> &MinimumShares) {
  for (std::size_t Rank = 0; Rank < RankCount; ++Rank) {
    rank_queue &RankQueue = Queue.Ranks[Rank];
    if (Rank == ServedRank) {
      RankQueue.Credit = std::max(0.0, RankQueue.Credit - 1.0);
    } else if (RankQueue.Size == 0) {
      RankQueue.Credit = 0.0;
    } else {
      double NewCredit = RankQueue.Credit + CreditFactor * MinimumShares[Rank];
      RankQueue.Credit = std::min(NewCredit, MaxCredit);
    }
  }
}

/// The rank to dispatch from: the most urgent waiting rank with a credit of at
/// least 1, else the most urgent waiting rank up to \p MaxRank. RankCount if
/// there is none.
std::size_t nextRank(work_queue &Queue, std::size_t MaxRank) {
  std::size_t MostUrgentRank = RankCount;
  for (std::size_t Rank = RankCount; Rank-- > 0;) {
    bool HasWaiting = Queue.Ranks[Rank].Size > 0;
    MostUrgentRank = HasWaiting && Rank <= MaxRank ? Rank : MostUrgentRank;
  }
  for (std::size_t Rank = 0; Rank < RankCount; ++Rank) {
    if (Queue.Ranks[Rank].Size > 0 && Queue.Ranks[Rank].Credit >= 1.0) {
      return Rank;
    }
  }
  return MostUrgentRank;
}

queued_work popFromRank(work_queue &Queue, std::size_t Rank,
                        monotonic_time Now) {
  rank_queue &RankQueue = Queue.Ranks[Rank];
  organisation_queue_list &Queues = RankQueue.NestedCalls.empty()
                                        ? RankQueue.RootRequests
                                        : RankQueue.NestedCalls;
  organisation_queue OrganisationQueue = std::move(Queues.front());
  Queues.pop_front();
  bool NewestFirst = Now - OrganisationQueue.Waiting.front().Enqueued >
                     Queue.Settings.TargetDelay;
  queued_work Work = NewestFirst ? std::move(OrganisationQueue.Waiting.back())
                                 : std::move(OrganisationQueue.Waiting.front());
  if (NewestFirst) {
    OrganisationQueue.Waiting.pop_back();
  } else {
    OrganisationQueue.Waiting.pop_front();
  }
  if (!OrganisationQueue.Waiting.empty()) {
    Queues.push_back(std::move(OrganisationQueue));
  }
  --RankQueue.Size;
  --Queue.Size;
  return Work;
}

bool removeFromQueues(organisation_queue_list &Queues, std::uint64_t Ticket) {
  for (organisation_queue &OrganisationQueue : Queues) {
    auto Found = std::find_if(
        OrganisationQueue.Waiting.begin(), OrganisationQueue.Waiting.end(),
        [&](const queued_work &Work) { return Work.Ticket == Ticket; });
    if (Found != OrganisationQueue.Waiting.end()) {
      OrganisationQueue.Waiting.erase(Found);
      eraseEmptyQueues(Queues);
      return true;
    }
  }
  return false;
}

} // namespace

std::optional<dropped_work> enqueue(work_queue &Queue, queued_work Work) {
  rank_queue &RankQueue =
      Queue.Ranks[std::min<std::size_t>(Work.Rank, RankCount - 1)];
  addToOrganisationQueue(Work.Depth > 0 ? RankQueue.NestedCalls
                                        : RankQueue.RootRequests,
                         std::move(Work));
  ++RankQueue.Size;
  ++Queue.Size;
  if (Queue.Size <= Queue.Settings.MaxQueued) {
    return std::nullopt;
  }
  return dropped_work{dropNewestOfLeastUrgentRank(Queue),
                      refusal_reason::QueueFull};
}

dequeue_result dequeue(work_queue &Queue,
                       const std::array<double, RankCount> &MinimumShares,
                       std::uint8_t MaxRank, monotonic_time Now) {
  dequeue_result Result;
  while (Queue.Size > 0) {
    std::size_t Rank = nextRank(Queue, MaxRank);
    if (Rank == RankCount) {
      break;
    }
    queued_work Work = popFromRank(Queue, Rank, Now);
    updateCredits(Queue, Rank, MinimumShares);
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
  for (rank_queue &RankQueue : Queue.Ranks) {
    if (removeFromQueues(RankQueue.NestedCalls, Ticket) ||
        removeFromQueues(RankQueue.RootRequests, Ticket)) {
      --RankQueue.Size;
      --Queue.Size;
      return true;
    }
  }
  return false;
}

std::size_t countAhead(const work_queue &Queue, std::uint8_t Rank) {
  std::size_t Ahead = 0;
  for (std::size_t I = 0; I <= Rank && I < Queue.Ranks.size(); ++I) {
    Ahead += Queue.Ranks[I].Size;
  }
  return Ahead;
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
