#include "client/caller.h"

#include "execution/requestid.h"
#include "http/blockingcall.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <thread>

namespace figplank::client {
namespace {

using framework::milliseconds;
using framework::outcome;

constexpr milliseconds MinRetryDelay{50};

std::string makeIdempotencyKey() {
  static thread_local std::mt19937_64 Random(std::random_device{}());
  return execution::formatRequestId(execution::makeRequestId(
      framework::readClocks().Wall, Random(), Random()));
}

milliseconds readMilliseconds(std::string_view Text) {
  std::int64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return milliseconds(Number);
}

call_answer readAnswer(const http::response &Response) {
  auto HeaderText = [&Response](std::string_view Name) {
    return http::findHeader(Response.Headers, Name)
        .value_or(std::string_view());
  };
  call_answer Answer;
  Answer.Status = Response.Status;
  Answer.Body = Response.Body.text();
  Answer.Reason = HeaderText("Figplank-Reason");
  Answer.RetryAfter = readMilliseconds(HeaderText("Figplank-Retry-After-Ms"));
  auto Outcome = framework::valueOf(framework::OutcomeNames,
                                    HeaderText("Figplank-Outcome"));
  Answer.Outcome = Outcome.value_or(outcome::Unknown);
  return Answer;
}

call_answer sendOnce(const std::string &NodeAddress,
                     const call_request &Request, const std::string &Key,
                     unsigned Attempt, milliseconds Remaining) {
  // The node answers by the deadline; the extra time allows for network delay.
  constexpr milliseconds NetworkDelay{500};
  http::request Sent;
  Sent.Method = "POST";
  Sent.Target = "/work/" + Request.Template;
  Sent.Headers = {{"Host", NodeAddress},
                  {"Connection", "close"},
                  {"Content-Type", Request.ContentType},
                  {"Figplank-Organisation", Request.Organisation},
                  {"Figplank-Deadline-Ms", std::to_string(Remaining.count())},
                  {"Figplank-Attempt", std::to_string(Attempt)},
                  {"Idempotency-Key", Key}};
  Sent.Body = http::shared_body(Request.Body);
  http::call_result Result = http::callServer(
      NodeAddress, Sent,
      framework::readClocks().Monotonic + Remaining + NetworkDelay);
  call_answer Answer;
  if (Result.Answer) {
    Answer = readAnswer(*Result.Answer);
  } else {
    bool IsBroken = Result.Failure == http::call_failure::BrokenAnswer;
    Answer.Reason = IsBroken ? "broken_answer" : "entry_unreachable";
  }
  Answer.Key = Key;
  Answer.Attempts = Attempt;
  return Answer;
}

} // namespace

next_step decideNextStep(const call_answer &Answer, unsigned Attempt,
                         unsigned MaxAttempts, milliseconds Remaining) {
  constexpr unsigned LastClientError = 499;
  constexpr unsigned FirstClientError = 400;
  bool IsClientError =
      Answer.Status >= FirstClientError && Answer.Status <= LastClientError;
  milliseconds RetryDelay = std::max(Answer.RetryAfter, MinRetryDelay);
  if (Answer.Outcome == outcome::Completed || IsClientError ||
      Attempt >= MaxAttempts || RetryDelay >= Remaining) {
    return next_step::Stop;
  }
  return Answer.Outcome == outcome::NotRun ? next_step::SendNewKey
                                           : next_step::SendSameKey;
}

call_answer callWithRetries(const std::vector<std::string> &NodeAddresses,
                            const call_request &Request) {
  auto Deadline = framework::readClocks().Monotonic + Request.Deadline;
  std::string Key = Request.Key.empty() ? makeIdempotencyKey() : Request.Key;
  call_answer Answer;
  for (unsigned Attempt = 1;; ++Attempt) {
    auto Remaining = std::chrono::duration_cast<milliseconds>(
        Deadline - framework::readClocks().Monotonic);
    if (Remaining.count() <= 0 || NodeAddresses.empty()) {
      return Answer;
    }
    const std::string &NodeAddress =
        NodeAddresses[(Attempt - 1) % NodeAddresses.size()];
    Answer = sendOnce(NodeAddress, Request, Key, Attempt, Remaining);
    Remaining = std::chrono::duration_cast<milliseconds>(
        Deadline - framework::readClocks().Monotonic);
    next_step Step =
        decideNextStep(Answer, Attempt, Request.MaxAttempts, Remaining);
    if (Step == next_step::Stop) {
      return Answer;
    }
    if (Step == next_step::SendNewKey) {
      Key = makeIdempotencyKey();
    }
    std::this_thread::sleep_for(std::max(Answer.RetryAfter, MinRetryDelay));
  }
}

} // namespace figplank::client
