#include "admission/workqueue.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace figplank::admission;
using figplank::framework::microseconds;
using figplank::framework::milliseconds;
using figplank::framework::monotonic_time;
using figplank::framework::refusal_reason;

namespace {

constexpr std::uint8_t LeastUrgentRank = 7;

monotonic_time at(int Milliseconds) {
  return monotonic_time(milliseconds(Milliseconds));
}

queued_work makeWork(std::uint64_t Ticket, std::uint8_t Rank,
                     const std::string &Organisation, std::uint8_t Depth = 0) {
  return {Ticket, Rank,      Organisation,       Depth,
          at(0),  at(1'000), microseconds(1'000)};
}

} // namespace

TEST_GROUP(WorkQueue) {
  work_queue Queue;
  std::array<double, RankCount> Shares{};

  std::uint64_t next(monotonic_time Now = at(1),
                     std::uint8_t MaxRank = LeastUrgentRank) {
    dequeue_result Found = dequeue(Queue, Shares, MaxRank, Now);
    return Found.Next ? Found.Next->Ticket : 0;
  }
};

TEST(WorkQueue, DispatchesUrgentRanksFirst) {
  enqueue(Queue, makeWork(1, 5, "a"));
  enqueue(Queue, makeWork(2, 0, "a"));
  enqueue(Queue, makeWork(3, 3, "a"));
  LONGS_EQUAL(2, next());
  LONGS_EQUAL(3, next());
  LONGS_EQUAL(1, next());
  LONGS_EQUAL(0, next());
}

TEST(WorkQueue, DispatchesOrganisationsRoundRobin) {
  for (std::uint64_t I = 1; I <= 20; ++I) {
    enqueue(Queue, makeWork(I, 0, "large"));
  }
  enqueue(Queue, makeWork(100, 0, "small"));
  enqueue(Queue, makeWork(101, 0, "small"));
  LONGS_EQUAL(1, next());
  LONGS_EQUAL(100, next());
  LONGS_EQUAL(2, next());
  LONGS_EQUAL(101, next());
}

TEST(WorkQueue, DispatchesNestedCallsBeforeRootRequests) {
  enqueue(Queue, makeWork(1, 0, "a"));
  enqueue(Queue, makeWork(2, 0, "a", 2));
  LONGS_EQUAL(2, next());
}

TEST(WorkQueue, DispatchesNewestFirstAfterLongWait) {
  enqueue(Queue, makeWork(1, 0, "a"));
  enqueue(Queue, makeWork(2, 0, "a"));
  LONGS_EQUAL(2, next(at(100)));
}

TEST(WorkQueue, DropsRequestsThatMissTheirDeadline) {
  enqueue(Queue, makeWork(1, 0, "a"));
  dequeue_result Found = dequeue(Queue, Shares, LeastUrgentRank, at(1'000));
  CHECK_FALSE(Found.Next.has_value());
  LONGS_EQUAL(1, Found.Dropped.size());
  CHECK(Found.Dropped[0].Reason == refusal_reason::DeadlinePassed);
  enqueue(Queue, makeWork(2, 0, "a"));
  Found = dequeue(Queue, Shares, LeastUrgentRank,
                  monotonic_time(microseconds(999'500)));
  CHECK(Found.Dropped[0].Reason == refusal_reason::DeadlineUnreachable);
}

TEST(WorkQueue, FullQueueDropsLeastUrgentRank) {
  Queue.Settings.MaxQueued = 2;
  CHECK_FALSE(enqueue(Queue, makeWork(1, 5, "a")).has_value());
  CHECK_FALSE(enqueue(Queue, makeWork(2, 3, "a")).has_value());
  auto Dropped = enqueue(Queue, makeWork(3, 0, "a"));
  LONGS_EQUAL(1, Dropped->Ticket);
  Dropped = enqueue(Queue, makeWork(4, 6, "a"));
  LONGS_EQUAL(4, Dropped->Ticket);
}

TEST(WorkQueue, MinimumShareDispatchesLessUrgentRankDespiteReservation) {
  Shares[5] = 0.1;
  for (std::uint64_t I = 1; I <= 50; ++I) {
    enqueue(Queue, makeWork(I, 0, "a"));
  }
  enqueue(Queue, makeWork(100, 5, "b"));
  std::size_t Dispatches = 1;
  // Only slots reserved for rank 0 are free.
  while (next(at(1), 0) != 100) {
    ++Dispatches;
  }
  CHECK(Dispatches <= 10);
}

TEST(WorkQueue, ReservedSlotsAreNotGivenToLessUrgentRanks) {
  enqueue(Queue, makeWork(1, 5, "a"));
  LONGS_EQUAL(0, next(at(1), 0));
  LONGS_EQUAL(1, next(at(1), 5));
}

TEST(WorkQueue, RemovesTicketOfDisconnectedCaller) {
  enqueue(Queue, makeWork(1, 0, "a"));
  CHECK_TRUE(removeTicket(Queue, 1));
  CHECK_FALSE(removeTicket(Queue, 1));
  LONGS_EQUAL(0, next());
}
