#include "node/rounds.h"

#include "configuration/jsonreader.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace figplank::node {
namespace {

using framework::milliseconds;
using framework::monotonic_time;
using framework::outcome;
using framework::readClocks;
using framework::refusal_reason;
using nlohmann::json;

constexpr std::size_t MaxRequests = 10'000;
constexpr milliseconds MinRetryDelay{20};
constexpr milliseconds MaxRetryDelay{500};

/// Whether another attempt may still complete the request.
bool isRetryable(const work_answer &Answer, bool Idempotent) {
  if (Answer.Outcome == outcome::Completed ||
      Answer.Reason == refusal_reason::SuspectRequest) {
    return false;
  }
  return Answer.Outcome == outcome::NotRun || Idempotent;
}

} // namespace

bool readRound(const std::string &Text, std::vector<std::string> &Bodies) {
  json Document = configuration::parseJson(Text);
  bool Valid = Document.is_object() && Document.contains("requests") &&
               Document["requests"].is_array() &&
               !Document["requests"].empty() &&
               Document["requests"].size() <= MaxRequests;
  if (!Valid) {
    return false;
  }
  for (const json &Body : Document["requests"]) {
    if (!Body.is_string()) {
      return false;
    }
    Bodies.push_back(Body.get<std::string>());
  }
  return true;
}

std::string formatRound(const round_answer &Answer) {
  json Document{{"outcome", std::string(framework::nameOf(Answer.Outcome))},
                {"reason", std::string(framework::nameOf(Answer.Reason))}};
  json Answers = json::array();
  for (const work_answer &Item : Answer.Answers) {
    Answers.push_back(
        {{"outcome", std::string(framework::nameOf(Item.Outcome))},
         {"reason", std::string(framework::nameOf(Item.Reason))},
         {"status", Item.Status},
         {"body", Item.Body.text()}});
  }
  Document["answers"] = std::move(Answers);
  return Document.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

round_service::round_service(node_runtime &Node, dispatcher &Dispatcher)
    : Node(Node), Dispatcher(Dispatcher), Load(admission::makeRoundLoad({})),
      RequestSlots(Load.Settings.MaxConcurrent) {}

refusal_reason round_service::admit(const round_request &Round) {
  monotonic_time Now = readClocks().Monotonic;
  if (Node.Condition.Draining) {
    return refusal_reason::Draining;
  }
  double Share = admission::chainShareOf(
      Node.ChainShares, Round.Common.Template, Round.Common.Organisation, Now);
  if (!admission::isAdmitted(Node.draw(), Share, 0)) {
    return refusal_reason::Overload;
  }
  bool InTime = admission::canCompleteRound(Load, Round.Bodies.size(),
                                            Round.Deadline, Now);
  return InTime ? refusal_reason::None : refusal_reason::RoundTooLarge;
}

task<round_answer> round_service::serve(round_request Round) {
  round_answer Answer;
  Answer.Reason = admit(Round);
  if (Answer.Reason != refusal_reason::None) {
    co_return kj::mv(Answer);
  }
  kj::ForkedPromise<round_answer> Execution =
      kj::Promise<round_answer>(executeAll(kj::mv(Round))).fork();
  Node.Tasks.add(Execution.addBranch().ignoreResult());
  kj::Promise<round_answer> Branch = Execution.addBranch();
  Answer = co_await kj::mv(Branch);
  co_return kj::mv(Answer);
}

task<round_answer> round_service::executeAll(round_request Round) {
  round_answer Answer;
  const std::size_t Size = Round.Bodies.size();
  Answer.Answers.resize(Size);
  Load.Outstanding += Size;
  auto Executions = kj::heapArrayBuilder<kj::Promise<void>>(Size);
  for (std::size_t I = 0; I < Size; ++I) {
    Executions.add(executeRequest(Round, I, Answer.Answers[I]));
  }
  {
    KJ_DEFER(Load.Outstanding -= Size);
    co_await kj::joinPromises(Executions.finish());
  }
  Answer.Outcome = outcome::Completed;
  for (const work_answer &Item : Answer.Answers) {
    if (Item.Outcome != outcome::Completed) {
      Answer.Outcome = outcome::Unknown;
      Answer.Reason = Item.Reason;
    }
  }
  co_return kj::mv(Answer);
}

task<void> round_service::executeRequest(const round_request &Round,
                                         std::size_t Index,
                                         work_answer &Answer) {
  co_await RequestSlots.acquire();
  KJ_DEFER(RequestSlots.release());
  monotonic_time Start = readClocks().Monotonic;
  for (unsigned Attempt = 1;; ++Attempt) {
    Answer = co_await sendAttempt(Round, Index, Attempt);
    milliseconds Delay =
        std::clamp(Answer.RetryAfter, MinRetryDelay, MaxRetryDelay);
    bool InTime = readClocks().Monotonic + Delay < Round.Deadline;
    if (!InTime || !isRetryable(Answer, Round.Common.Idempotent)) {
      break;
    }
    co_await Node.Timer.afterDelay(toDuration(Delay));
  }
  admission::recordRoundLatency(Load, readClocks().Monotonic - Start);
}

task<work_answer> round_service::sendAttempt(const round_request &Round,
                                             std::size_t Index,
                                             unsigned Attempt) {
  work_request Request = Round.Common;
  Request.Body = Round.Bodies[Index];
  // NOTE A non-idempotent request is retried only after its last attempt was
  // fenced, so every entry that executes the round derives the same ids for the
  // attempts.
  Request.Id = execution::deriveChildId(
      *Round.Common.Id, std::to_string(Index) + "#" + std::to_string(Attempt));
  Request.Deadline =
      std::min(Round.Deadline, readClocks().Monotonic + Round.RequestDeadline);
  // The round was admitted as a whole. A draw of 0 keeps the services from
  // refusing single requests of it for overload.
  Request.Draw = 0.0;
  work_answer Answer = co_await Dispatcher.dispatchRoot(kj::mv(Request));
  co_return kj::mv(Answer);
}

} // namespace figplank::node
