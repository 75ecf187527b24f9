#include "client/caller.h"

#include "framework/tests/joined.h"
#include "standins/rawserver.h"

#include <CppUTest/TestHarness.h>

#include <sys/socket.h>

using namespace figplank::client;
using namespace figplank::standins;
using figplank::framework::milliseconds;
using figplank::framework::outcome;
using figplank::framework::tests::joined;

namespace {

call_answer makeAnswer(outcome Outcome, unsigned Status) {
  call_answer Answer;
  Answer.Outcome = Outcome;
  Answer.Status = Status;
  return Answer;
}

/// The answer of a node to a call of a template, after its status line.
const std::string Completed = "Figplank-Outcome: completed\r\n";
const std::string Length = "Content-Length: 4\r\n";

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

/// A node whose answers are written by hand.
TEST_GROUP(BrokenAnswers){
    call_answer callOf(raw_answerer Answerer, std::size_t UploadBytes = 1){
        raw_server Node(std::move(Answerer));
call_request Request;
Request.Template = "price";
Request.Organisation = "alpha";
Request.Body = std::string(UploadBytes, 'u');
Request.Deadline = milliseconds(3'000);
Request.MaxAttempts = 1;
return callWithRetries({Node.address()}, Request);
}
call_answer callOf(const std::string &Text) {
  return callOf([Text](int Connection, const std::string &) {
    sendText(Connection, Text);
    shutdown(Connection, SHUT_WR);
    awaitClose(Connection);
    return false;
  });
}
void checkUnknown(const call_answer &Answer, const std::string &Text) {
  CHECK_TEXT(Answer.Outcome == outcome::Unknown, Text.c_str());
}
}
;

TEST(BrokenAnswers, SoundAnswersAreCompleted) {
  const std::string Ok = "HTTP/1.1 200 OK\r\n" + Completed;
  for (const std::string &Text :
       {Ok + Length + "\r\nbody", Ok + "\r\nbody",
        "HTTP/1.0 200 OK\r\n" + Completed + "\r\nbody",
        Ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"}) {
    call_answer Answer = callOf(Text);
    CHECK_TEXT(Answer.Outcome == outcome::Completed, Text.c_str());
    STRCMP_EQUAL_TEXT("body", Answer.Body.c_str(), Text.c_str());
  }
}

TEST(BrokenAnswers, PartBeforeAResetIsUnknown) {
  for (std::size_t UploadBytes : {std::size_t{1}, std::size_t{48} << 20U}) {
    for (int DelayMs = 0; DelayMs <= 20; DelayMs += 2) {
      call_answer Answer = callOf(
          [DelayMs](int Connection, const std::string &) {
            sendText(Connection,
                     "HTTP/1.1 200 OK\r\n" + Completed + "\r\npart");
            readFor(Connection, milliseconds(DelayMs));
            resetWhenClosed(Connection);
            return false;
          },
          UploadBytes);
      checkUnknown(Answer, "reset");
    }
  }
}

TEST(BrokenAnswers, StatusThatHttpDoesNotHaveIsUnknown) {
  for (const char *Status : {"000", "099", "600", "999", "20", "2000", "-20"}) {
    checkUnknown(callOf(joined({"HTTP/1.1 ", Status, " OK\r\n", Completed,
                                Length, "\r\nbody"})),
                 Status);
  }
}

TEST(BrokenAnswers, HeaderNamesThatHttpDoesNotHaveAreUnknown) {
  std::vector<std::string> Lines = linesWithMalformedNames();
  Lines.emplace_back(" Bad: 3");
  for (const std::string &Line : Lines) {
    checkUnknown(callOf(joined({"HTTP/1.1 200 OK\r\n", Line, "\r\n", Completed,
                                Length, "\r\nbody"})),
                 Line);
  }
}

TEST(BrokenAnswers, MalformedBodiesAreUnknown) {
  const std::string Ok = "HTTP/1.1 200 OK\r\n" + Completed;
  const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string &Text :
       {Ok + "Content-Length: 9\r\n\r\nbody", Chunked + "9\r\nbody",
        Chunked + "4\r\nbody\r\n",
        Ok + Length + "Content-Length: 3\r\n\r\nbody",
        Ok + "Content-Length: 4x\r\n\r\nbody",
        Ok + Length +
            "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        std::string("HTTP/1.1 200 OK\r\nFigplank-Outcome: comp")}) {
    checkUnknown(callOf(Text), Text);
  }
}

TEST(BrokenAnswers, MalformedChunksAreUnknown) {
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\n" + Completed + "Transfer-Encoding: chunked\r\n\r\n";
  for (const char *Rest :
       {"4\r\nbodyXX0\r\n\r\n", "4\r\nbody\r\n0\r\nBad Name: 1\r\n\r\n"}) {
    checkUnknown(callOf(Chunked + Rest), Rest);
  }
}
