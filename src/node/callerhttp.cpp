#include "node/callerhttp.h"

#include "framework/httpheaders.h"

#include "framework/peerstate.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace figplank::node {
namespace {

using framework::headerText;

using framework::milliseconds;
using framework::outcome;
using framework::readClocks;
using framework::refusal_reason;

constexpr std::string_view WorkPrefix = "/work/";
constexpr std::string_view RoundPrefix = "/round/";
/// Default deadline of a round, as a multiple of the deadline of one request.
constexpr int RoundDeadlineFactor = 10;
constexpr milliseconds MaxRoundDeadline{60'000};
constexpr milliseconds RoundRetryAfter{1'000};
constexpr std::uint32_t MaxRoundBytes = 8U << 20U;
constexpr std::size_t MaxTokenLength = 100;
constexpr unsigned GatewayTimeout = 504;

/// Reads a header with a positive number: \p Default if it is absent, nothing
/// if it is malformed.
std::optional<std::uint32_t> headerNumber(const kj::HttpHeaders &Headers,
                                          kj::HttpHeaderId Id,
                                          std::uint32_t Default) {
  std::string Text = headerText(Headers, Id);
  if (Text.empty()) {
    return Default;
  }
  std::uint32_t Number = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  bool IsValid =
      Error == std::errc() && End == Text.data() + Text.size() && Number > 0;
  return IsValid ? std::optional<std::uint32_t>(Number) : std::nullopt;
}

/// A refusal by this entry before anything was sent.
/// NOTE Another entry with a different configuration may accept a copy of the
/// same id. For a request with an id, this entry therefore cannot claim that it
/// will not run.
work_answer refuseCall(refusal_reason Reason, bool HasId) {
  return makeRefusal(HasId ? outcome::Unknown : outcome::NotRun, Reason);
}

unsigned statusOf(const work_answer &Answer) {
  if (Answer.Outcome == outcome::Completed) {
    return Answer.Status;
  }
  if (Answer.Outcome == outcome::Unknown && Answer.Status != 0) {
    return Answer.Status;
  }
  unsigned Status = framework::refusalRow(Answer.Reason).Status;
  // NOTE Generic clients retry at once after a 503, which must not happen after
  // an unknown outcome.
  constexpr unsigned Unavailable = 503;
  return Answer.Outcome == outcome::Unknown && Status == Unavailable
             ? GatewayTimeout
             : Status;
}

std::string refusalBody(const work_answer &Answer, const std::string &Id) {
  nlohmann::json Body;
  Body["outcome"] = std::string(framework::nameOf(Answer.Outcome));
  Body["reason"] = std::string(framework::nameOf(Answer.Reason));
  Body["retry_after_ms"] = Answer.RetryAfter.count();
  if (!Id.empty()) {
    Body["id"] = Id;
  }
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

} // namespace

kj::Own<kj::HttpService>
caller_service::serveConnection(kj::AsyncIoStream &Stream) {
  return kj::heap<framework::cancel_on_close_service>(*this, Stream,
                                                      Node.Timer);
}

caller_headers makeCallerHeaders() {
  kj::HttpHeaderTable::Builder Builder;
  caller_headers Headers;
  Headers.Organisation = Builder.add("Figplank-Organisation");
  Headers.IdempotencyKey = Builder.add("Idempotency-Key");
  Headers.DeadlineMs = Builder.add("Figplank-Deadline-Ms");
  Headers.Attempt = Builder.add("Figplank-Attempt");
  Headers.Context = Builder.add("Figplank-Context");
  Headers.Call = Builder.add("Figplank-Call");
  Headers.Outcome = Builder.add("Figplank-Outcome");
  Headers.Reason = Builder.add("Figplank-Reason");
  Headers.RetryAfter = Builder.add("Retry-After");
  Headers.RetryAfterMs = Builder.add("Figplank-Retry-After-Ms");
  Headers.Table = Builder.build();
  return Headers;
}

caller_service::caller_service(node_runtime &Node, dispatcher &Dispatcher,
                               round_service &Rounds, context_table &Contexts)
    : Node(Node), Dispatcher(Dispatcher), Rounds(Rounds), Contexts(Contexts),
      Headers(makeCallerHeaders()) {}

caller_service::parsed_call
caller_service::parse(kj::HttpMethod Method, kj::StringPtr Url,
                      const kj::HttpHeaders &Received) {
  parsed_call Call;
  Call.HasId =
      execution::parseRequestId(headerText(Received, Headers.IdempotencyKey))
          .has_value();
  std::string Path(Url.cStr(), Url.size());
  bool IsRound = Path.starts_with(RoundPrefix);
  bool IsWork = Path.starts_with(WorkPrefix);
  if (Method != kj::HttpMethod::POST || (!IsWork && !IsRound)) {
    Call.Reason = refusal_reason::MalformedRequest;
    return Call;
  }
  if (!Node.Condition.Ready) {
    Call.Reason = refusal_reason::NoConfiguration;
    return Call;
  }
  detectPause(Node);
  if (hasJustResumed(Node)) {
    // The request may have waited in the kernel's socket buffer until its
    // caller timed out.
    Call.Reason = refusal_reason::JustResumed;
    return Call;
  }
  std::string Template =
      Path.substr(IsRound ? RoundPrefix.size() : WorkPrefix.size());
  std::string Token = headerText(Received, Headers.Context);
  if (Token.empty()) {
    parseRoot(Call, Template, Received);
    if (IsRound) {
      parseRoundDeadline(Call, Received);
    }
  } else {
    parseChild(Call, Template, Token, Received);
  }
  Call.Request.ContentType =
      headerText(Received, kj::HttpHeaderId::CONTENT_TYPE);
  return Call;
}

void caller_service::parseRoot(parsed_call &Call, const std::string &Template,
                               const kj::HttpHeaders &Received) {
  const configuration::catalog &Catalog = Node.Store.Catalog;
  work_request &Request = Call.Request;
  Request.Template = Template;
  Request.Organisation = headerText(Received, Headers.Organisation);
  if (Catalog.Templates.count(Template) == 0) {
    Call.Reason = refusal_reason::UnknownTemplate;
    return;
  }
  auto Resolved =
      configuration::resolveTemplate(Catalog, Request.Organisation, Template);
  if (!Resolved) {
    Call.Reason = refusal_reason::UnknownOrganisation;
    return;
  }
  auto Attempt = headerNumber(Received, Headers.Attempt, 1);
  auto MaxDeadlineMs = static_cast<std::uint32_t>(Resolved->Deadline.count());
  auto DeadlineMs = headerNumber(Received, Headers.DeadlineMs, MaxDeadlineMs);
  if (!Attempt || !DeadlineMs) {
    Call.Reason = refusal_reason::MalformedRequest;
    return;
  }
  framework::time_now Now = readClocks();
  std::string Key = headerText(Received, Headers.IdempotencyKey);
  Request.Id = execution::parseRequestId(Key);
  if (!Resolved->Idempotent && !Request.Id) {
    Call.Reason =
        Key.empty() ? refusal_reason::MissingId : refusal_reason::InvalidId;
    return;
  }
  if (!Request.Id) {
    // NOTE Child calls derive their ids from this one, so that a retry of an
    // idempotent request does not repeat its non-idempotent child calls.
    Request.Id =
        execution::makeRequestId(Now.Wall, Node.Random(), Node.Random());
  }
  Request.RootId = execution::formatRequestId(*Request.Id);
  Request.Service = Resolved->Service;
  Request.Path = Resolved->Path;
  Request.Rank = Resolved->Rank;
  Request.Idempotent = Resolved->Idempotent;
  Request.CallerAttempt = *Attempt;
  Request.ExtraTries =
      retry::initialBudget(Resolved->ExtraTries, *Attempt).ExtraTries;
  Request.Deadline =
      Now.Monotonic + milliseconds(std::min(MaxDeadlineMs, *DeadlineMs));
  // NOTE This node draws the number instead of deriving it from the id, so that
  // callers cannot gain priority by choosing ids.
  Request.Draw = Node.draw();
  Call.MaxBodyBytes = Resolved->MaxBodyBytes;
}

void caller_service::parseChild(parsed_call &Call, const std::string &Template,
                                const std::string &Token,
                                const kj::HttpHeaders &Received) {
  auto Parent =
      Token.size() > MaxTokenLength ? Contexts.end() : Contexts.find(Token);
  if (Parent == Contexts.end()) {
    Call.Reason = refusal_reason::UnknownContext;
    return;
  }
  auto Found = Node.Store.Catalog.Templates.find(Template);
  if (Found == Node.Store.Catalog.Templates.end()) {
    Call.Reason = refusal_reason::UnknownTemplate;
    return;
  }
  Call.Parent = Parent->second;
  const work_request &ParentRequest = Call.Parent->Request;
  auto ForOrganisation = configuration::resolveTemplate(
      Node.Store.Catalog, ParentRequest.Organisation, Template);
  configuration::resolved_template Resolved =
      ForOrganisation.value_or(configuration::templateDefaults(Found->second));
  std::string Name = headerText(Received, Headers.Call);
  if (Name.empty()) {
    Name = Template + "#" + std::to_string(++Call.Parent->CallCounts[Template]);
  }
  framework::time_now Now = readClocks();
  work_request &Request = Call.Request;
  Request.Template = Template;
  Request.Id = execution::deriveChildId(*ParentRequest.Id, Name);
  Request.RootId = ParentRequest.RootId;
  Request.Service = Resolved.Service;
  Request.Path = Resolved.Path;
  Request.Organisation = ParentRequest.Organisation;
  Request.Rank = ParentRequest.Rank;
  Request.Depth =
      static_cast<std::uint8_t>(std::min(ParentRequest.Depth + 1, 255));
  Request.Idempotent = Resolved.Idempotent;
  Request.CallerAttempt = ParentRequest.CallerAttempt;
  Request.Deadline =
      std::min(ParentRequest.Deadline, Now.Monotonic + Resolved.Deadline);
  Request.Draw = ParentRequest.Draw;
  Request.SamplingWeight = ParentRequest.SamplingWeight;
  Call.MaxBodyBytes = Resolved.MaxBodyBytes;
}

kj::Promise<void> caller_service::request(kj::HttpMethod Method,
                                          kj::StringPtr Url,
                                          const kj::HttpHeaders &Received,
                                          kj::AsyncInputStream &Body,
                                          Response &Reply) {
  // Url and Received are invalid once the body has been read, so they are
  // parsed first.
  return serve(parse(Method, Url, Received), Body, Reply);
}

task<void> caller_service::serve(parsed_call Call, kj::AsyncInputStream &Body,
                                 Response &Reply) {
  framework::monotonic_time Start = readClocks().Monotonic;
  if (Call.Reason == refusal_reason::None) {
    co_await readBody(Call, Body);
  }
  const std::uint8_t Rank = Call.Request.Rank;
  const std::string Id =
      Call.Request.Id ? execution::formatRequestId(*Call.Request.Id) : "";
  work_answer Answer = co_await dispatch(kj::mv(Call));
  countRefusal(Node.Metrics.AnsweredReasons, Answer.Reason);
  Node.Metrics.AnsweredOutcomes[static_cast<std::size_t>(Answer.Outcome)]
      ->Increment();
  auto Elapsed = readClocks().Monotonic - Start;
  Node.Metrics.Latency[Rank]->Observe(
      std::chrono::duration<double>(Elapsed).count());
  co_await reply(Reply, Answer, Id);
}

task<void> caller_service::readBody(parsed_call &Call,
                                    kj::AsyncInputStream &Body) {
  kj::Maybe<std::uint64_t> Length = Body.tryGetLength();
  KJ_IF_MAYBE (Bytes, Length) {
    if (*Bytes > Call.MaxBodyBytes) {
      Call.Reason = refusal_reason::BodyTooLarge;
      co_return;
    }
  }
  try {
    kj::Array<kj::byte> Bytes = co_await Body.readAllBytes(Call.MaxBodyBytes);
    Call.Request.Body = std::string(
        reinterpret_cast<const char *>(Bytes.begin()), Bytes.size());
  } catch (const kj::Exception &Exception) {
    if (Exception.getType() == kj::Exception::Type::DISCONNECTED) {
      throw;
    }
    Call.Reason = refusal_reason::BodyTooLarge;
  }
}

task<work_answer> caller_service::dispatch(parsed_call Call) {
  work_answer Answer;
  if (Call.Reason != refusal_reason::None) {
    Answer = refuseCall(Call.Reason, Call.HasId);
  } else if (Call.IsRound) {
    Answer = co_await dispatchRound(kj::mv(Call));
  } else if (Call.Parent) {
    Answer =
        co_await Dispatcher.dispatchChild(kj::mv(Call.Request), Call.Parent);
  } else {
    Answer = co_await Dispatcher.dispatchRoot(kj::mv(Call.Request));
  }
  co_return kj::mv(Answer);
}

task<work_answer> caller_service::dispatchRound(parsed_call Call) {
  round_request Round;
  if (!readRound(Call.Request.Body.text(), Round.Bodies)) {
    co_return refuseCall(refusal_reason::MalformedRequest, Call.HasId);
  }
  Round.Deadline = Call.RoundDeadline;
  Round.RequestDeadline = std::chrono::duration_cast<milliseconds>(
      Call.Request.Deadline - readClocks().Monotonic);
  Round.Common = kj::mv(Call.Request);
  Round.Common.Body.clear();
  round_answer RoundResult = co_await Rounds.serve(kj::mv(Round));
  work_answer Answer = makeRefusal(RoundResult.Outcome, RoundResult.Reason);
  if (RoundResult.Outcome == outcome::NotRun) {
    Answer.RetryAfter = RoundRetryAfter;
  } else {
    bool AllCompleted = RoundResult.Outcome == outcome::Completed;
    Answer.Status = AllCompleted ? 200 : GatewayTimeout;
    Answer.ContentType = "application/json";
    Answer.Body = formatRound(RoundResult);
  }
  co_return kj::mv(Answer);
}

void caller_service::parseRoundDeadline(parsed_call &Call,
                                        const kj::HttpHeaders &Received) {
  framework::monotonic_time Now = readClocks().Monotonic;
  auto DefaultDeadline =
      RoundDeadlineFactor *
      std::chrono::duration_cast<milliseconds>(Call.Request.Deadline - Now);
  auto RequestedMs =
      headerNumber(Received, Headers.DeadlineMs,
                   static_cast<std::uint32_t>(DefaultDeadline.count()));
  milliseconds Allowed(RequestedMs.value_or(1));
  Call.RoundDeadline = Now + std::min(Allowed, MaxRoundDeadline);
  Call.MaxBodyBytes = MaxRoundBytes;
  Call.IsRound = true;
}

task<void> caller_service::reply(Response &Reply, const work_answer &Answer,
                                 std::string Id) {
  kj::HttpHeaders Sent(*Headers.Table);
  Sent.set(Headers.Outcome,
           kj::heapString(framework::nameOf(Answer.Outcome).data()));
  const bool HasResult = Answer.Status != 0;
  const http::shared_body Body =
      HasResult ? Answer.Body : http::shared_body(refusalBody(Answer, Id));
  if (Answer.Reason != refusal_reason::None) {
    Sent.set(Headers.Reason,
             kj::heapString(framework::nameOf(Answer.Reason).data()));
  }
  if (Answer.RetryAfter.count() > 0) {
    auto Seconds = (Answer.RetryAfter.count() + 999) / 1000;
    Sent.set(Headers.RetryAfter, kj::str(Seconds));
    Sent.set(Headers.RetryAfterMs, kj::str(Answer.RetryAfter.count()));
  }
  std::string Type = HasResult ? Answer.ContentType : "application/json";
  if (!Type.empty()) {
    Sent.set(kj::HttpHeaderId::CONTENT_TYPE, kj::heapString(Type.c_str()));
  }
  unsigned Status = statusOf(Answer);
  auto Stream = Reply.send(Status, Status < 300 ? "OK" : "Refused", Sent,
                           std::uint64_t{Body.size()});
  if (!Body.empty()) {
    co_await Stream->write(Body.text().data(), Body.size());
  }
}

kj::Promise<void>
caller_service::handleClientProtocolError(kj::HttpHeaders::ProtocolError Error,
                                          Response &Reply) {
  Node.Metrics.MalformedMessages->Increment();
  framework::logEvent(
      framework::log_level::Info, "malformed_http",
      {{"status", Error.statusCode}, {"error", Error.description.cStr()}});
  work_answer Answer = refuseCall(refusal_reason::MalformedRequest, false);
  Answer.Status = 0;
  return reply(Reply, Answer, "");
}

} // namespace figplank::node
