#include "node/wire.h"

#include "http/parser.h"

#include <algorithm>
#include <cmath>

namespace figplank::node {
namespace {

using framework::outcome;
using framework::refusal_reason;

/// Maximum number of fingerprints accepted from one crash report.
constexpr unsigned MaxReportedFingerprints = 10'000;

/// In place of an age: there was no such event.
constexpr std::uint32_t UnknownAge = 0xffffffff;

/// Limited to the longest age that the message can hold.
std::uint32_t toWireAge(framework::milliseconds Age) {
  constexpr std::int64_t MaxAge = UnknownAge - 1;
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Age.count(), 0, MaxAge));
}

std::string_view toView(capnp::Text::Reader Text) {
  return {Text.begin(), Text.size()};
}

std::string toString(capnp::Text::Reader Text) {
  return std::string(toView(Text));
}

std::string toString(capnp::Data::Reader Data) {
  return {reinterpret_cast<const char *>(Data.begin()), Data.size()};
}

capnp::Data::Reader toData(std::string_view Text) {
  return {reinterpret_cast<const kj::byte *>(Text.data()), Text.size()};
}

capnp::Text::Reader toText(const std::string &Text) {
  return {Text.c_str(), Text.size()};
}

/// Fills \p To, which has the size of \p From.
void copyText(capnp::Text::Builder To, std::string_view From) {
  std::copy(From.begin(), From.end(), To.begin());
}

bool isFraction(double Number) {
  return std::isfinite(Number) && Number >= 0.0 && Number <= 1.0;
}

std::optional<refusal_reason> readReason(std::uint8_t Code) {
  if (Code >= framework::RefusalTable.size()) {
    return std::nullopt;
  }
  return static_cast<refusal_reason>(Code);
}

void writeLoad(rpc::Load::Builder To, const routing::reported_load &From) {
  To.setLimit(From.Limit);
  To.setInFlight(From.InFlight);
  To.setQueued(From.Queued);
  To.setFailureRate(From.FailureRate);
  To.setDraining(From.Draining);
  To.setLeavingInstance(toText(From.Leaving.Name));
  To.setLeavingStartedMs(From.Leaving.StartedMs);
}

/// Number of header lines up to which they are sent as a list.
constexpr std::size_t MaxListedHeaders = 64;

/// \p To is a message with the members headers and headerText.
template <typename Builder>
void writeHeaders(Builder To, const http::header_list &From) {
  std::size_t Lines = From.size();
  if (Lines > MaxListedHeaders) {
    To.setHeaderText(toData(From.text()));
    return;
  }
  auto List = To.initHeaders(static_cast<unsigned>(Lines));
  unsigned I = 0;
  for (const http::header &Line : From) {
    rpc::Header::Builder Item = List[I++];
    copyText(Item.initName(static_cast<unsigned>(Line.Name.size())), Line.Name);
    copyText(Item.initValue(static_cast<unsigned>(Line.Value.size())),
             Line.Value);
  }
}

template <typename Reader> http::header_list readHeaders(Reader From) {
  if (From.hasHeaderText()) {
    return http::header_list::fromText(toString(From.getHeaderText()));
  }
  http::header_list Headers;
  for (rpc::Header::Reader Line : From.getHeaders()) {
    Headers.add(toView(Line.getName()), toView(Line.getValue()));
  }
  return Headers;
}

/// Whether HTTP has answers with the status and the header names of \p Answer,
/// which may come from a node that checks less. A refusal has no status.
bool hasSoundHead(const work_answer &Answer) {
  return (Answer.Status == 0 || http::isValidStatus(Answer.Status)) &&
         std::all_of(Answer.Headers.begin(), Answer.Headers.end(),
                     [](const http::header &Line) {
                       return http::isFieldName(Line.Name);
                     });
}

void writeForwarded(rpc::ForwardedRequest::Builder To,
                    const forwarded_request &From) {
  To.setName(toText(From.RequestName));
  To.setMethod(toText(From.Method));
  To.setCallerService(toText(From.CallerService));
  To.setInstance(toText(From.ExpectedInstance));
  writeHeaders(To, From.Headers);
}

forwarded_request readForwarded(rpc::ForwardedRequest::Reader From) {
  return {toString(From.getName()), toString(From.getMethod()),
          readHeaders(From), toString(From.getCallerService()),
          toString(From.getInstance())};
}

/// The length of what \p From holds beside the body.
std::size_t headBytes(rpc::WorkRequest::Reader From) {
  std::size_t Bytes = From.getPath().size() + From.getRootId().size();
  if (From.hasForwarded()) {
    Bytes += From.getForwarded().getHeaderText().size();
    for (rpc::Header::Reader Line : From.getForwarded().getHeaders()) {
      Bytes += Line.getName().size() + Line.getValue().size();
    }
  }
  return Bytes;
}

routing::reported_load readLoad(rpc::Load::Reader From) {
  routing::reported_load Load;
  Load.Limit =
      std::isfinite(From.getLimit()) ? std::max(1.0, From.getLimit()) : 1.0;
  Load.InFlight = From.getInFlight();
  Load.Queued = From.getQueued();
  Load.FailureRate =
      isFraction(From.getFailureRate()) ? From.getFailureRate() : 0.0;
  Load.Draining = From.getDraining();
  Load.Leaving = {toString(From.getLeavingInstance()),
                  From.getLeavingStartedMs()};
  return Load;
}

} // namespace

void writeRequest(rpc::WorkRequest::Builder To, const work_request &From,
                  std::uint64_t Attempt, framework::monotonic_time Now) {
  To.setAttempt(Attempt);
  if (From.Id) {
    To.setId(toData(execution::requestIdBytes(*From.Id)));
  }
  To.setRootId(toText(From.RootId));
  To.setTemplate(toText(From.Template));
  To.setService(toText(From.Service));
  To.setPath(toText(From.Path));
  To.setOrganisation(toText(From.Organisation));
  To.setRank(From.Rank);
  To.setDepth(From.Depth);
  To.setIdempotent(From.Idempotent);
  To.setExtraTries(From.ExtraTries);
  To.setCallerAttempt(From.CallerAttempt);
  To.setRemainingMs(framework::remainingMilliseconds(Now, From.Deadline));
  To.setDraw(From.Draw);
  To.setWeight(From.SamplingWeight);
  To.setContentType(toText(From.ContentType));
  To.setBody(toData(From.Body.text()));
  To.setObjectiveMs(static_cast<std::uint32_t>(From.LatencyObjective.count()));
  if (From.Forwarded) {
    writeForwarded(To.initForwarded(), *From.Forwarded);
  }
}

std::optional<work_request> readRequest(rpc::WorkRequest::Reader From,
                                        framework::monotonic_time Now,
                                        framework::memory_account &Account,
                                        bool &HasRoom) {
  constexpr double MaxWeight = 1e4;
  work_request Request;
  Request.Id = execution::requestIdFromBytes(toString(From.getId()));
  Request.RootId = toString(From.getRootId());
  Request.Template = toString(From.getTemplate());
  Request.Service = toString(From.getService());
  Request.Path = toString(From.getPath());
  Request.Organisation = toString(From.getOrganisation());
  Request.Rank = From.getRank();
  Request.Depth = From.getDepth();
  Request.Idempotent = From.getIdempotent();
  Request.ExtraTries = From.getExtraTries();
  Request.CallerAttempt = From.getCallerAttempt();
  Request.Deadline = Now + framework::milliseconds(From.getRemainingMs());
  Request.Draw = From.getDraw();
  Request.SamplingWeight = From.getWeight();
  Request.ContentType = toString(From.getContentType());
  auto Charge = std::make_shared<framework::memory_charge>(
      &Account, framework::memory_class::Heads);
  framework::memory_charge BodyCharge(&Account,
                                      framework::memory_class::Bodies);
  // NOTE Each read of a member counts against the traversal limit of a message,
  // which a long body uses up for the most part.
  capnp::Data::Reader Body = From.getBody();
  HasRoom = Charge->growTo(http::chargeOfRun(headBytes(From))) &&
            BodyCharge.growTo(Body.size());
  if (HasRoom) {
    Request.Body = http::shared_body(toString(Body), std::move(BodyCharge));
    Request.Charge = std::move(Charge);
  }
  Request.LatencyObjective = framework::milliseconds(From.getObjectiveMs());
  if (From.hasForwarded()) {
    Request.Forwarded = readForwarded(From.getForwarded());
  }
  bool Valid =
      Request.Rank < configuration::RankCount && isFraction(Request.Draw) &&
      std::isfinite(Request.SamplingWeight) && Request.SamplingWeight >= 1.0 &&
      Request.SamplingWeight <= MaxWeight && Request.Path.starts_with('/') &&
      (Request.Idempotent || Request.Id.has_value() ||
       Request.Forwarded.has_value());
  if (!Valid) {
    return std::nullopt;
  }
  return Request;
}

void writeAnswer(rpc::WorkAnswer::Builder To, const work_answer &From,
                 std::uint64_t Attempt) {
  To.setAttempt(Attempt);
  To.setOutcome(static_cast<std::uint8_t>(From.Outcome));
  To.setReason(static_cast<std::uint8_t>(From.Reason));
  To.setStatus(From.Status);
  To.setContentType(toText(From.ContentType));
  writeHeaders(To, From.Headers);
  To.setBody(toData(From.Body.text()));
  To.setRetryAfterMs(static_cast<std::uint32_t>(From.RetryAfter.count()));
  To.setUnusedTries(From.UnusedTries);
  To.setMayRetry(From.MayRetry);
  To.setShare(From.ChainShare);
  writeLoad(To.initLoad(), From.Load);
}

std::optional<work_answer> readAnswer(rpc::WorkAnswer::Reader From,
                                      std::uint64_t Attempt,
                                      framework::memory_account &Account) {
  auto Reason = readReason(From.getReason());
  bool Valid = From.getAttempt() == Attempt && Reason.has_value() &&
               From.getOutcome() < framework::OutcomeNames.size() &&
               isFraction(From.getShare());
  if (!Valid) {
    return std::nullopt;
  }
  work_answer Answer;
  Answer.Outcome = static_cast<outcome>(From.getOutcome());
  Answer.Reason = *Reason;
  Answer.Status = From.getStatus();
  Answer.ContentType = toString(From.getContentType());
  Answer.Headers = readHeaders(From);
  if (!hasSoundHead(Answer)) {
    return std::nullopt;
  }
  framework::memory_charge Charge(&Account, framework::memory_class::Answers);
  capnp::Data::Reader Body = From.getBody();
  if (Charge.growTo(Body.size())) {
    Answer.Body = http::shared_body(toString(Body), std::move(Charge));
  } else {
    Answer = makeRefusal(outcome::Unknown, refusal_reason::MemoryShort);
  }
  Answer.RetryAfter = framework::milliseconds(From.getRetryAfterMs());
  Answer.UnusedTries = From.getUnusedTries();
  Answer.MayRetry =
      From.getMayRetry() && Answer.Reason != refusal_reason::MemoryShort;
  Answer.ChainShare = From.getShare();
  Answer.Load = readLoad(From.getLoad());
  return Answer;
}

void writeEntries(capnp::List<rpc::Entry>::Builder To,
                  const std::vector<configuration::published_entry> &From) {
  for (unsigned I = 0; I < From.size(); ++I) {
    To[I].setKey(toText(From[I].Key));
    To[I].setRevision(From[I].Revision);
    To[I].setValue(toText(From[I].Value));
  }
}

std::vector<configuration::published_entry>
readEntries(capnp::List<rpc::Entry>::Reader From) {
  std::vector<configuration::published_entry> Entries;
  Entries.reserve(From.size());
  for (rpc::Entry::Reader Entry : From) {
    Entries.push_back({toString(Entry.getKey()), Entry.getRevision(),
                       toString(Entry.getValue())});
  }
  return Entries;
}

void writePresence(rpc::Node::ExchangeResults::Builder To,
                   const membership::presence_report &Report) {
  To.setAnsweringSinceMs(toWireAge(Report.SinceBegin));
  To.setAnsweredAgoMs(toWireAge(Report.SinceEnd));
}

std::optional<membership::presence_report>
readPresence(rpc::Node::ExchangeResults::Reader From) {
  bool IsKnown = From.getAnsweringSinceMs() != UnknownAge &&
                 From.getAnsweredAgoMs() != UnknownAge;
  if (!IsKnown) {
    return std::nullopt;
  }
  return membership::presence_report{
      framework::milliseconds(From.getAnsweringSinceMs()),
      framework::milliseconds(From.getAnsweredAgoMs())};
}

void writeCrashReport(rpc::CrashReport::Builder To,
                      const retry::crash_report &From) {
  To.setCrashId(From.CrashId);
  To.setAlone(From.IsolatedSuspect);
  auto RunningFingerprints =
      To.initRunning(static_cast<unsigned>(From.RunningFingerprints.size()));
  for (unsigned I = 0; I < From.RunningFingerprints.size(); ++I) {
    RunningFingerprints.set(I, From.RunningFingerprints[I]);
  }
}

retry::crash_report readCrashReport(rpc::CrashReport::Reader From) {
  retry::crash_report Report;
  Report.CrashId = From.getCrashId();
  Report.IsolatedSuspect = From.getAlone();
  auto RunningFingerprints = From.getRunning();
  unsigned Size = std::min(RunningFingerprints.size(), MaxReportedFingerprints);
  for (unsigned I = 0; I < Size; ++I) {
    Report.RunningFingerprints.push_back(RunningFingerprints[I]);
  }
  return Report;
}

void writeHandover(rpc::HomeRecord::Builder To, const handover_answer &From) {
  To.setVerdict(static_cast<std::uint8_t>(From.Verdict));
  To.setState(static_cast<std::uint8_t>(From.Record.State));
  To.setReason(static_cast<std::uint8_t>(From.Record.Reason));
  To.setStatus(From.Record.Answer.Status);
  To.setContentType(toText(From.Record.Answer.ContentType));
  To.setBody(toData(From.Record.Answer.Body));
}

handover_answer readHandover(rpc::HomeRecord::Reader From) {
  handover_answer Answer;
  auto Reason = readReason(From.getReason());
  bool Valid =
      From.getVerdict() <= static_cast<std::uint8_t>(
                               execution::handover_verdict::Indeterminate) &&
      From.getState() <=
          static_cast<std::uint8_t>(execution::id_state::OutcomeLost) &&
      Reason;
  if (!Valid) {
    return Answer;
  }
  Answer.Verdict = static_cast<execution::handover_verdict>(From.getVerdict());
  Answer.Record.State = static_cast<execution::id_state>(From.getState());
  Answer.Record.Reason = *Reason;
  Answer.Record.Answer.Status = From.getStatus();
  Answer.Record.Answer.ContentType = toString(From.getContentType());
  Answer.Record.Answer.Body = toString(From.getBody());
  return Answer;
}

} // namespace figplank::node
