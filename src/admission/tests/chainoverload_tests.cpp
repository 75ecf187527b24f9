#include "admission/chainfeedback.h"
#include "admission/chainshares.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

using namespace figplank;
using namespace figplank::admission;
using framework::milliseconds;
using framework::monotonic_time;

namespace {

constexpr milliseconds Tick{10};
constexpr milliseconds AnswerDelay{100};
/// Ticks after which a call that waits at the hot service is turned away.
constexpr int MaxWaitTicks = 20;

/// Entry nodes, each of which learns the share from the answers to its own
/// requests only.
struct entry_fleet {
  std::vector<chain_shares> Entries;
  double RequestsPerSecond = 0.0;
  std::mt19937 Random{11};

  entry_fleet(std::size_t Count, double RequestsPerSecond)
      : Entries(Count), RequestsPerSecond(RequestsPerSecond) {
    for (chain_shares &Shares : Entries) {
      // As on nodes with routes.
      Shares.Settings.StaleAfter = milliseconds(300);
      Shares.Settings.GrowthPerSecond = 16.0;
    }
  }
  double draw() { return std::uniform_real_distribution<double>()(Random); }
  /// Whether \p Entry receives a request in one tick.
  bool hasArrival() {
    return draw() < RequestsPerSecond / static_cast<double>(Entries.size()) *
                        std::chrono::duration<double>(Tick).count();
  }
};

/// A request on its way back to its entry node.
struct pending_answer {
  std::size_t Entry = 0;
  monotonic_time Arrives;
};

/// Runs \p Fleet from \p Now until \p End against services that report \p
/// ReportedShare. Returns the requests admitted per second.
double simulateEntries(entry_fleet &Fleet, std::deque<pending_answer> &Pending,
                       double ReportedShare, monotonic_time &Now,
                       monotonic_time End) {
  double Seconds = std::chrono::duration<double>(End - Now).count();
  double Admitted = 0.0;
  for (; Now < End; Now += Tick) {
    for (; !Pending.empty() && Pending.front().Arrives <= Now;
         Pending.pop_front()) {
      recordChainShare(Fleet.Entries[Pending.front().Entry], "t", "",
                       ReportedShare, Now);
    }
    for (std::size_t I = 0; I < Fleet.Entries.size(); ++I) {
      double Share = chainShareOf(Fleet.Entries[I], "t", "", Now);
      if (Fleet.hasArrival() && isAdmitted(Fleet.draw(), Share, 0)) {
        Admitted += 1.0;
        Pending.push_back({I, Now + AnswerDelay});
      }
    }
  }
  return Admitted / Seconds;
}

/// A run at the service in front of the hot one, which it calls several times.
struct chain_run {
  std::size_t Entry = 0;
  double Draw = 0.0;
  double EntryProbability = 1.0;
  int CallsLeft = 4;
  /// Ticks for which the current call has waited.
  int Waited = 0;
  bool TurnedAway = false;
};

/// What became of the requests in the second half of a simulation.
struct chain_result {
  double Entered = 0.0;
  double Completed = 0.0;
};

/// A hot service that serves \p CallsPerSecond calls, the lowest draws first,
/// and turns away those that wait too long.
chain_result simulateChain(entry_fleet &Fleet, chain_feedback &Feedback,
                           double CallsPerSecond, milliseconds Duration) {
  chain_result Result;
  std::vector<chain_run> Running;
  double Room = 0.0;
  const monotonic_time End = monotonic_time() + Duration;
  const monotonic_time CountFrom = monotonic_time() + Duration / 2;
  for (monotonic_time Now; Now < End; Now += Tick) {
    double Counted = Now >= CountFrom ? 1.0 : 0.0;
    for (std::size_t I = 0; I < Fleet.Entries.size(); ++I) {
      double Share = chainShareOf(Fleet.Entries[I], "t", "", Now);
      double Draw = Fleet.draw();
      if (Fleet.hasArrival() && isAdmitted(Draw, Share, 0)) {
        Running.push_back({I, Draw, Share});
        Result.Entered += Counted;
      }
    }
    std::sort(Running.begin(), Running.end(),
              [](const chain_run &Left, const chain_run &Right) {
                return Left.Draw < Right.Draw;
              });
    Room = CallsPerSecond * std::chrono::duration<double>(Tick).count() +
           std::min(Room, 1.0);
    for (chain_run &Run : Running) {
      bool Served = Room >= 1.0;
      Room -= Served ? 1.0 : 0.0;
      Run.CallsLeft -= Served ? 1 : 0;
      Run.Waited = Served ? 0 : Run.Waited + 1;
      Run.TurnedAway = Run.Waited > MaxWaitTicks;
    }
    std::erase_if(Running, [&](const chain_run &Run) {
      if (!Run.TurnedAway && Run.CallsLeft > 0) {
        return false;
      }
      recordRun(Feedback, "t", Run.EntryProbability, Run.TurnedAway, Now);
      recordChainShare(Fleet.Entries[Run.Entry], "t", "",
                       feedbackShareOf(Feedback, "t", Now), Now);
      Result.Completed += Run.TurnedAway ? 0.0 : Counted;
      return true;
    });
  }
  return Result;
}

} // namespace

/// A hot service at the end of many chains.
TEST_GROUP(ChainOverload){};

TEST(ChainOverload, ManyEntriesWithFewAnswersEachKeepTheShare) {
  // 79 entry nodes, each of which receives 13 requests and, at a share of 0.1,
  // little more than one answer per second.
  entry_fleet Fleet(79, 1'064.0);
  std::deque<pending_answer> Pending;
  monotonic_time Now;
  simulateEntries(Fleet, Pending, 0.1, Now,
                  monotonic_time(milliseconds(3'000)));
  double Admitted = simulateEntries(Fleet, Pending, 0.1, Now,
                                    monotonic_time(milliseconds(9'000)));
  CHECK(Admitted > 0.8 * 106.4);
  CHECK(Admitted < 1.3 * 106.4);
}

TEST(ChainOverload, ManyEntriesRecoverWithinSeconds) {
  entry_fleet Fleet(79, 1'064.0);
  std::deque<pending_answer> Pending;
  monotonic_time Now;
  simulateEntries(Fleet, Pending, 0.1, Now,
                  monotonic_time(milliseconds(5'000)));
  simulateEntries(Fleet, Pending, 1.0, Now,
                  monotonic_time(milliseconds(7'500)));
  double Admitted = simulateEntries(Fleet, Pending, 1.0, Now,
                                    monotonic_time(milliseconds(9'500)));
  CHECK(Admitted > 0.9 * 1'064.0);
}

TEST(ChainOverload, RequestsThatEnterAreCompleted) {
  // The hot service carries 200 of 500 chains per second.
  entry_fleet Fleet(14, 500.0);
  chain_feedback Feedback;
  chain_result Result =
      simulateChain(Fleet, Feedback, 800.0, milliseconds(20'000));
  CHECK(Result.Completed > 0.95 * Result.Entered);
  CHECK(Result.Completed > 0.9 * 200.0 * 10.0);
}

TEST(ChainOverload, ChainWithRoomIsNotLimited) {
  entry_fleet Fleet(14, 500.0);
  chain_feedback Feedback;
  chain_result Result =
      simulateChain(Fleet, Feedback, 4'000.0, milliseconds(6'000));
  CHECK(Result.Entered > 0.95 * 500.0 * 3.0);
  DOUBLES_EQUAL(Result.Entered, Result.Completed, 0.02 * Result.Entered);
}

TEST(ChainOverload, ShareRecoversWhenNoRunIsTurnedAway) {
  chain_feedback Feedback;
  monotonic_time Now;
  for (int I = 0; I < 200; ++I, Now += Tick) {
    recordRun(Feedback, "t", 0.5, I % 2 == 0, Now);
  }
  DOUBLES_EQUAL(0.25, feedbackShareOf(Feedback, "t", Now), 0.03);
  DOUBLES_EQUAL(1.0, feedbackShareOf(Feedback, "other", Now), 0.0);
  for (int I = 0; I < 300; ++I, Now += Tick) {
    recordRun(Feedback, "t", 0.5, false, Now);
  }
  DOUBLES_EQUAL(1.0, feedbackShareOf(Feedback, "t", Now), 0.0);
}
