#include "admission/workqueue.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace figplank::admission;
using figplank::framework::microseconds;
using figplank::framework::milliseconds;
using figplank::framework::monotonic_time;
using figplank::framework::refusal_reason;

namespace {

constexpr std::uint8_t AllRanks = 7;

monotonic_time at(int Milliseconds) {
  return monotonic_time(milliseconds(Milliseconds));
}

queued_work work(std::uint64_t Ticket, std::uint8_t Rank,
                 const std::string &Organisation, std::uint8_t Depth = 0) {
  return {Ticket, Rank,      Organisation,       Depth,
          at(0),  at(1'000), microseconds(1'000)};
}

} // namespace

TEST_GROUP(WorkQueue) {
  work_queue Queue;
  std::array<double, RankCount> Shares{};

  std::uint64_t next(monotonic_time Now = at(1),
                     std::uint8_t LastRank = AllRanks) {
    dequeued_work Found = dequeue(Queue, Shares, LastRank, Now);
    return Found.Next ? Found.Next->Ticket : 0;
  }
};

TEST(WorkQueue, UrgentRanksGoFirst) {
  enqueue(Queue, work(1, 5, "a"));
  enqueue(Queue, work(2, 0, "a"));
  enqueue(Queue, work(3, 3, "a"));
  LONGS_EQUAL(2, next());
  LONGS_EQUAL(3, next());
  LONGS_EQUAL(1, next());
  LONGS_EQUAL(0, next());
}

TEST(WorkQueue, OrganisationsTakeTurnsWhateverTheyOffer) {
  for (std::uint64_t I = 1; I <= 20; ++I) {
    enqueue(Queue, work(I, 0, "large"));
  }
  enqueue(Queue, work(100, 0, "small"));
  enqueue(Queue, work(101, 0, "small"));
  LONGS_EQUAL(1, next());
  LONGS_EQUAL(100, next());
  LONGS_EQUAL(2, next());
  LONGS_EQUAL(101, next());
}

TEST(WorkQueue, InvestedWorkGoesBeforeFresh) {
  enqueue(Queue, work(1, 0, "a"));
  enqueue(Queue, work(2, 0, "a", 2));
  LONGS_EQUAL(2, next());
}

TEST(WorkQueue, NewestFirstOnceTheWaitIsLong) {
  enqueue(Queue, work(1, 0, "a"));
  enqueue(Queue, work(2, 0, "a"));
  LONGS_EQUAL(2, next(at(100)));
}

TEST(WorkQueue, WorkThatMissesItsDeadlineIsDropped) {
  enqueue(Queue, work(1, 0, "a"));
  dequeued_work Found = dequeue(Queue, Shares, AllRanks, at(1'000));
  CHECK_FALSE(Found.Next.has_value());
  LONGS_EQUAL(1, Found.Dropped.size());
  CHECK(Found.Dropped[0].Reason == refusal_reason::DeadlinePassed);
  enqueue(Queue, work(2, 0, "a"));
  Found =
      dequeue(Queue, Shares, AllRanks, monotonic_time(microseconds(999'500)));
  CHECK(Found.Dropped[0].Reason == refusal_reason::DeadlineUnreachable);
}

TEST(WorkQueue, FullQueueDropsTheLeastUrgent) {
  Queue.Settings.MaxQueued = 2;
  CHECK_FALSE(enqueue(Queue, work(1, 5, "a")).has_value());
  CHECK_FALSE(enqueue(Queue, work(2, 3, "a")).has_value());
  auto Dropped = enqueue(Queue, work(3, 0, "a"));
  LONGS_EQUAL(1, Dropped->Ticket);
  Dropped = enqueue(Queue, work(4, 6, "a"));
  LONGS_EQUAL(4, Dropped->Ticket);
}

TEST(WorkQueue, MinimumShareKeepsALowRankMovingAndOvertakesTheReserve) {
  Shares[5] = 0.1;
  for (std::uint64_t I = 1; I <= 50; ++I) {
    enqueue(Queue, work(I, 0, "a"));
  }
  enqueue(Queue, work(100, 5, "b"));
  std::size_t Turn = 1;
  // The caller offers only slots reserved for rank 0.
  while (next(at(1), 0) != 100) {
    ++Turn;
  }
  CHECK(Turn <= 10);
}

TEST(WorkQueue, ReserveIsNotTakenByLowerRanks) {
  enqueue(Queue, work(1, 5, "a"));
  LONGS_EQUAL(0, next(at(1), 0));
  LONGS_EQUAL(1, next(at(1), 5));
}

TEST(WorkQueue, TicketOfACallerThatLeftIsRemoved) {
  enqueue(Queue, work(1, 0, "a"));
  CHECK_TRUE(removeTicket(Queue, 1));
  CHECK_FALSE(removeTicket(Queue, 1));
  LONGS_EQUAL(0, next());
}
