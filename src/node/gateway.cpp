#include "node/gateway.h"

#include "node/decisionlog.h"

#include <algorithm>

namespace figplank::node {
namespace {

using framework::milliseconds;
using framework::monotonic_time;
using framework::outcome;
using framework::readClocks;
using framework::refusal_reason;

/// Retry-After of a node that has no configuration yet.
constexpr milliseconds StartingRetryAfter{300};
/// Retry-After of a node that is about to exit. It covers the usual restart.
constexpr milliseconds StoppingRetryAfter{1'000};
/// Retry-After of a node that is short of memory. By then a client that holds
/// much for long has been closed.
constexpr milliseconds MemoryRetryAfter{1'000};
/// Memory that the requests of a rank leave to those of each more urgent one.
constexpr std::size_t RankReserveBytes = std::size_t{256} << 10U;
/// Longest name of a request in the record of its connection's end.
constexpr std::size_t MaxLoggedNameLength = 64;

} // namespace

gateway::gateway(node_runtime &Node, dispatcher &Dispatcher,
                 context_table &Contexts, const wire_dialect &Dialect)
    : Server(
          Node.Timer,
          [this](http::request Request) { return handle(std::move(Request)); },
          Node.Memory,
          {[&Dialect](const http::request &Request) {
             return Dialect.ReadCallerRequest(Request.Headers)
                 .RequestName.substr(0, MaxLoggedNameLength);
           },
           [this](const http::connection_record &Record) {
             recordConnectionEnd(Record);
           }}),
      Node(Node), Dispatcher(Dispatcher), Contexts(Contexts), Dialect(Dialect) {
  auto Pair = kj::newPromiseAndFulfiller<void>();
  Ending = kj::mv(Pair.fulfiller);
  Ended = Pair.promise.fork();
}

kj::Promise<http::response> gateway::handle(http::request Request) {
  return serve(std::move(Request));
}

std::shared_ptr<call_context>
gateway::findParent(const std::string &Name) const {
  std::size_t Dot = Name.rfind('.');
  if (Dot == std::string::npos) {
    return nullptr;
  }
  auto Found = Contexts.find(Name.substr(0, Dot));
  return Found == Contexts.end() ? nullptr : Found->second;
}

work_request gateway::makeRequest(http::request Received,
                                  const caller_request_info &CallerInfo,
                                  const configuration::route &Route,
                                  const call_context *Parent,
                                  monotonic_time Now) {
  work_request Request;
  Request.Template = Route.Name;
  Request.Service = routing::nextService(RoundRobin, Route, Node.draw());
  Request.Path = std::move(Received.Target);
  Request.Idempotent = Route.Idempotent;
  Request.ExtraTries = static_cast<std::uint8_t>(Route.Attempts - 1);
  Request.Deadline =
      Now +
      std::min(Route.Timeout, CallerInfo.Remaining.value_or(Route.Timeout));
  if (Node.StopTime) {
    Request.Deadline = std::min(Request.Deadline, *Node.StopTime);
  }
  Request.LatencyObjective = Route.LatencyObjective;
  Request.Body = std::move(Received.Body);
  Request.Charge = std::move(Received.Charge);
  Request.RootId = CallerInfo.RequestName;
  Request.Rank = Route.Rank;
  Request.Draw = Node.draw();
  if (Parent != nullptr) {
    const work_request &ParentRequest = Parent->Request;
    Request.RootId = ParentRequest.RootId;
    Request.Rank = ParentRequest.Rank;
    Request.Depth = static_cast<std::uint8_t>(
        std::min<unsigned>(ParentRequest.Depth + 1U, UINT8_MAX));
    Request.Draw = ParentRequest.Draw;
    Request.SamplingWeight = ParentRequest.SamplingWeight;
    Request.Deadline = std::min(Request.Deadline, ParentRequest.Deadline);
  }
  http::removeHopByHopHeaders(Received.Headers);
  Request.Forwarded =
      forwarded_request{CallerInfo.RequestName, std::move(Received.Method),
                        std::move(Received.Headers), Node.Settings.Service, ""};
  return Request;
}

bool gateway::findMemory(
    const configuration::route &Route,
    std::shared_ptr<framework::memory_charge> &AnswerRoom) {
  // Callers may repeat idempotent requests, so they are refused first.
  std::size_t Reserve = RankReserveBytes * Route.Rank +
                        (Route.Idempotent ? RankReserveBytes / 2 : 0);
  if (framework::freeBytes(Node.Memory) < Reserve) {
    return false;
  }
  auto Expected = LongAnswerBytes.find(Route.Name);
  if (Expected == LongAnswerBytes.end()) {
    return true;
  }
  AnswerRoom = std::make_shared<framework::memory_charge>(
      &Node.Memory, framework::memory_class::Answers);
  // An idempotent request may be repeated if its answer finds no room, and not
  // all answers of a route are long.
  return AnswerRoom->growTo(Expected->second) || Route.Idempotent;
}

void gateway::recordAnswerSize(const std::string &Route, std::size_t Bytes) {
  auto Found = LongAnswerBytes.find(Route);
  // Shorter answers lower the expected size by an eighth each.
  std::size_t Lowered =
      Found == LongAnswerBytes.end() ? 0 : Found->second - Found->second / 8;
  std::size_t Expected = std::max(Bytes, Lowered);
  if (Expected > framework::MaxShortBytes) {
    LongAnswerBytes[Route] = Expected;
  } else if (Found != LongAnswerBytes.end()) {
    LongAnswerBytes.erase(Found);
  }
}

void gateway::recordConnectionEnd(const http::connection_record &Record) {
  bool Owing = Record.Owed > 0;
  auto &Counters = Node.Metrics.ConnectionEnds[Owing ? 1 : 0];
  Counters[static_cast<std::size_t>(Record.Reason)]->Increment();
  bool IsUsual = Record.Reason == http::connection_end::Finished ||
                 Record.Reason == http::connection_end::ClientClosed;
  if (Owing || !IsUsual) {
    framework::logFrequentEvent(
        framework::log_level::Info, "connection_ended",
        {{"reason", framework::nameOf(http::ConnectionEndNames, Record.Reason)},
         {"owed", static_cast<std::uint64_t>(Record.Owed)},
         {"requests", Record.OwedNames},
         {"held_bytes", static_cast<std::uint64_t>(Record.HeldBytes)}},
        readClocks().Monotonic);
  }
}

void gateway::countAnswer(const std::string &Route, const work_answer &Answer,
                          monotonic_time Started) {
  route_metrics &Metrics = metricsOfRoute(Node.Metrics, Route);
  Metrics.Answers[static_cast<std::size_t>(Answer.Outcome)]->Increment();
  Metrics.Seconds->Observe(
      framework::inSeconds(readClocks().Monotonic - Started));
  Metrics.Share->Set(Answer.ChainShare);
}

kj::Promise<work_answer>
gateway::dispatch(work_request Request,
                  const std::shared_ptr<call_context> &Parent) {
  kj::Promise<work_answer> Dispatched =
      Parent == nullptr ? Dispatcher.dispatchRoot(kj::mv(Request))
                        : Dispatcher.dispatchChild(kj::mv(Request), Parent);
  return Dispatched.exclusiveJoin(Ended.addBranch().then([]() {
    return makeRefusal(outcome::Unknown, refusal_reason::Draining);
  }));
}

task<http::response> gateway::serve(http::request Received) {
  monotonic_time Now = readClocks().Monotonic;
  const caller_request_info CallerInfo =
      Dialect.ReadCallerRequest(Received.Headers);
  const configuration::route_table &Table = Node.Store.Catalog.Routing;
  refusal_reason Reason = refusal_reason::None;
  const configuration::route *Route = nullptr;
  milliseconds RetryAfter = StartingRetryAfter;
  if (Node.Condition.RefusesCallers) {
    Reason = refusal_reason::Draining;
    RetryAfter = StoppingRetryAfter;
  } else if (!Node.Condition.Ready || Table.Routes.empty()) {
    Reason = refusal_reason::NoConfiguration;
  } else {
    Route = routing::findRoute(
        Table,
        http::findHeader(Received.Headers, "Host").value_or(std::string_view()),
        http::pathOf(Received.Target));
    if (Route == nullptr) {
      Reason = refusal_reason::UnknownRoute;
    }
  }
  std::shared_ptr<framework::memory_charge> AnswerRoom;
  if (Route != nullptr && !findMemory(*Route, AnswerRoom)) {
    Reason = refusal_reason::MemoryShort;
    RetryAfter = MemoryRetryAfter;
  }
  work_answer Answer;
  const std::string RouteName = Route == nullptr ? "" : Route->Name;
  const milliseconds Objective =
      Route == nullptr ? milliseconds(0) : Route->LatencyObjective;
  bool Idempotent = Route == nullptr || Route->Idempotent;
  if (Reason != refusal_reason::None) {
    Answer = makeRefusal(outcome::NotRun, Reason);
    Answer.RetryAfter = RetryAfter;
  } else {
    std::shared_ptr<call_context> Parent = findParent(CallerInfo.RequestName);
    work_request Request =
        makeRequest(std::move(Received), CallerInfo, *Route, Parent.get(), Now);
    Request.AnswerRoom = AnswerRoom;
    Answer = co_await dispatch(kj::mv(Request), Parent);
    if (Answer.Outcome == outcome::Completed) {
      recordAnswerSize(RouteName, Answer.Body.size());
    }
  }
  logAnswer({CallerInfo.RequestName, RouteName, Now, Objective,
             Node.Store.Catalog.Routing.Version},
            Answer, readClocks().Monotonic);
  if (Route != nullptr) {
    countAnswer(RouteName, Answer, Now);
  }
  Node.Metrics.AnsweredOutcomes[static_cast<std::size_t>(Answer.Outcome)]
      ->Increment();
  countRefusal(Node.Metrics.AnsweredReasons, Answer.Reason);
  co_return Dialect.WriteCallerAnswer(Answer, CallerInfo.RequestName,
                                      Idempotent);
}

} // namespace figplank::node
