#include "client/caller.h"

#include <CppUTest/TestHarness.h>

using namespace figplank::client;
using figplank::framework::milliseconds;
using figplank::framework::outcome;

namespace {

call_answer makeAnswer(outcome Outcome, unsigned Status) {
  call_answer Answer;
  Answer.Outcome = Outcome;
  Answer.Status = Status;
  return Answer;
}

} // namespace

TEST_GROUP(Caller){};

TEST(Caller, UnknownOutcomeIsRetriedWithTheSameKey) {
  CHECK(decideNextStep(makeAnswer(outcome::Unknown, 504), 1, 3,
                       milliseconds(1'000)) == next_step::SendSameKey);
}

TEST(Caller, RequestThatDidNotRunIsRetriedWithANewKey) {
  CHECK(decideNextStep(makeAnswer(outcome::NotRun, 503), 1, 3,
                       milliseconds(1'000)) == next_step::SendNewKey);
}

TEST(Caller, StopsAfterTheLastAttemptAndWhenCompleted) {
  CHECK(decideNextStep(makeAnswer(outcome::NotRun, 503), 3, 3,
                       milliseconds(1'000)) == next_step::Stop);
  CHECK(decideNextStep(makeAnswer(outcome::Completed, 200), 1, 3,
                       milliseconds(1'000)) == next_step::Stop);
}

TEST(Caller, DoesNotRetryClientErrors) {
  CHECK(decideNextStep(makeAnswer(outcome::NotRun, 400), 1, 3,
                       milliseconds(1'000)) == next_step::Stop);
  CHECK(decideNextStep(makeAnswer(outcome::NotRun, 422), 1, 3,
                       milliseconds(1'000)) == next_step::Stop);
}

TEST(Caller, HonoursRetryAfterWithinTheDeadline) {
  call_answer Answer = makeAnswer(outcome::NotRun, 503);
  Answer.RetryAfter = milliseconds(2'000);
  CHECK(decideNextStep(Answer, 1, 3, milliseconds(1'000)) == next_step::Stop);
  CHECK(decideNextStep(Answer, 1, 3, milliseconds(3'000)) ==
        next_step::SendNewKey);
}
