#include "node/rounds.h"

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
constexpr milliseconds LeastPause{20};
constexpr milliseconds MostPause{500};

/// Whether another try of one request may still end well.
bool isWorthAnotherTry(const work_answer &Answer, bool Idempotent) {
  if (Answer.Outcome == outcome::Completed ||
      Answer.Reason == refusal_reason::SuspectRequest) {
    return false;
  }
  return Answer.Outcome == outcome::NotRun || Idempotent;
}

} // namespace

bool readRound(const std::string &Text, std::vector<std::string> &Bodies) {
  json Document = json::parse(Text, nullptr, false);
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
  for (const work_answer &One : Answer.Answers) {
    Answers.push_back({{"outcome", std::string(framework::nameOf(One.Outcome))},
                       {"reason", std::string(framework::nameOf(One.Reason))},
                       {"status", One.Status},
                       {"body", One.Body}});
  }
  Document["answers"] = std::move(Answers);
  return Document.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

round_service::round_service(node_runtime &Node, dispatcher &Dispatcher)
    : Node(Node), Dispatcher(Dispatcher), Load(admission::makeRoundLoad({})),
      Window(Load.Settings.MaxConcurrent) {}

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
  kj::ForkedPromise<round_answer> Carrying =
      kj::Promise<round_answer>(carryAll(kj::mv(Round))).fork();
  Node.Tasks.add(Carrying.addBranch().ignoreResult());
  kj::Promise<round_answer> Branch = Carrying.addBranch();
  Answer = co_await kj::mv(Branch);
  co_return kj::mv(Answer);
}

task<round_answer> round_service::carryAll(round_request Round) {
  round_answer Answer;
  const std::size_t Size = Round.Bodies.size();
  Answer.Answers.resize(Size);
  Load.Outstanding += Size;
  auto Carried = kj::heapArrayBuilder<kj::Promise<void>>(Size);
  for (std::size_t I = 0; I < Size; ++I) {
    Carried.add(carry(Round, I, Answer.Answers[I]));
  }
  {
    KJ_DEFER(Load.Outstanding -= Size);
    co_await kj::joinPromises(Carried.finish());
  }
  Answer.Outcome = outcome::Completed;
  for (const work_answer &One : Answer.Answers) {
    if (One.Outcome != outcome::Completed) {
      Answer.Outcome = outcome::Unknown;
      Answer.Reason = One.Reason;
    }
  }
  co_return kj::mv(Answer);
}

task<void> round_service::carry(const round_request &Round, std::size_t Index,
                                work_answer &Answer) {
  co_await Window.acquire();
  KJ_DEFER(Window.release());
  monotonic_time Start = readClocks().Monotonic;
  for (unsigned Try = 1;; ++Try) {
    Answer = co_await tryRequest(Round, Index, Try);
    milliseconds Pause = std::clamp(Answer.RetryAfter, LeastPause, MostPause);
    bool InTime = readClocks().Monotonic + Pause < Round.Deadline;
    if (!InTime || !isWorthAnotherTry(Answer, Round.Common.Idempotent)) {
      break;
    }
    co_await Node.Timer.afterDelay(toDuration(Pause));
  }
  admission::recordRoundLatency(Load, readClocks().Monotonic - Start);
}

task<work_answer> round_service::tryRequest(const round_request &Round,
                                            std::size_t Index, unsigned Try) {
  work_request Request = Round.Common;
  Request.Body = Round.Bodies[Index];
  // NOTE A new try follows only a fenced one, so the ids of all tries are the
  // same whichever entry carries the round.
  Request.Id = execution::deriveChildId(
      *Round.Common.Id, std::to_string(Index) + "#" + std::to_string(Try));
  Request.Deadline =
      std::min(Round.Deadline, readClocks().Monotonic + Round.RequestDeadline);
  // The round was admitted as a whole; no service refuses a part of it.
  Request.Draw = 0.0;
  work_answer Answer = co_await Dispatcher.dispatchRoot(kj::mv(Request));
  co_return kj::mv(Answer);
}

} // namespace figplank::node
