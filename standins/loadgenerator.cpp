#include "standins/loadgenerator.h"

#include "framework/httpheaders.h"

#include "execution/requestid.h"

#include <kj/debug.h>

#include <algorithm>

namespace figplank::standins {
namespace {

using framework::headerText;

using clock = std::chrono::steady_clock;

kj::Duration toDuration(std::chrono::microseconds Time) {
  return std::max<std::int64_t>(0, Time.count()) * kj::MICROSECONDS;
}

struct ignoring_error_handler final : public kj::TaskSet::ErrorHandler {
  void taskFailed(kj::Exception &&) override {}
};

} // namespace

load_generator::load_generator(std::vector<std::string> NodeAddresses)
    : Entries(std::move(NodeAddresses)) {
  kj::HttpHeaderTable::Builder Builder;
  OrganisationId = Builder.add("Figplank-Organisation");
  KeyId = Builder.add("Idempotency-Key");
  AttemptId = Builder.add("Figplank-Attempt");
  OutcomeId = Builder.add("Figplank-Outcome");
  ReasonId = Builder.add("Figplank-Reason");
  Table = Builder.build();
  for (const std::string &Entry : Entries) {
    Loop.await([this, &Entry]() -> kj::Promise<void> {
      kj::Network &Network = Loop.io().provider->getNetwork();
      return Network.parseAddress(Entry.c_str())
          .then([this](kj::Own<kj::NetworkAddress> Address) {
            node_client Client;
            Client.Address = kj::mv(Address);
            Client.Client = kj::newHttpClient(Loop.io().provider->getTimer(),
                                              *Table, *Client.Address);
            Clients.push_back(kj::mv(Client));
          });
    });
  }
}

load_generator::~load_generator() {
  Loop.run([this]() { Clients.clear(); });
}

std::string load_generator::newKey() {
  auto Now = std::chrono::time_point_cast<framework::milliseconds>(
      std::chrono::system_clock::now());
  return execution::formatRequestId(
      execution::makeRequestId(Now, Random(), Random()));
}

void load_generator::run(const std::vector<load_stream> &Streams,
                         std::chrono::milliseconds Duration) {
  ignoring_error_handler Errors;
  kj::Own<kj::TaskSet> Requests;
  Loop.await([&]() -> kj::Promise<void> {
    Requests = kj::heap<kj::TaskSet>(Errors);
    auto Generators = kj::heapArrayBuilder<kj::Promise<void>>(Streams.size());
    for (std::size_t I = 0; I < Streams.size(); ++I) {
      Generators.add(generateRequests(Streams[I], I, Duration, *Requests));
    }
    return kj::joinPromises(Generators.finish()).then([&]() {
      return Requests->onEmpty();
    });
  });
  Loop.run([&]() { Requests = nullptr; });
}

task<void> load_generator::generateRequests(const load_stream &Stream,
                                            std::size_t Index,
                                            std::chrono::milliseconds Duration,
                                            kj::TaskSet &Requests) {
  kj::Timer &Timer = Loop.io().provider->getTimer();
  clock::time_point Start = clock::now();
  std::uint64_t SentCount = 0;
  while (clock::now() - Start < Duration) {
    double Elapsed =
        std::chrono::duration<double>(clock::now() - Start).count();
    auto DueCount = static_cast<std::uint64_t>(Elapsed * Stream.Rate) + 1;
    for (; SentCount < DueCount; ++SentCount) {
      Requests.add(sendWithResends(Stream, Index));
    }
    auto Interval =
        std::chrono::microseconds(static_cast<std::int64_t>(1e6 / Stream.Rate));
    co_await Timer.afterDelay(
        toDuration(std::max(Interval, std::chrono::microseconds(1'000))));
  }
}

task<void> load_generator::sendWithResends(const load_stream &Stream,
                                           std::size_t Index) {
  std::string Key = Stream.WithKey ? newKey() : std::string();
  clock::time_point Start = clock::now();
  request_result Result;
  for (unsigned Attempt = 1; Attempt <= Stream.Resends + 1; ++Attempt) {
    std::size_t Entry = Random() % Clients.size();
    Result = co_await sendWithTimeout(Stream, Key, Attempt, Entry);
    if (Result.Succeeded) {
      break;
    }
    if (Stream.ResendPause.count() > 0) {
      co_await Loop.io().provider->getTimer().afterDelay(
          toDuration(Stream.ResendPause));
    }
  }
  Result.Stream = Index;
  Result.Start = Start;
  Result.Latency = std::chrono::duration_cast<std::chrono::microseconds>(
      clock::now() - Start);
  std::lock_guard<std::mutex> Lock(Mutex);
  Results.push_back(std::move(Result));
}

task<request_result> load_generator::sendWithTimeout(const load_stream &Stream,
                                                     std::string Key,
                                                     unsigned Attempt,
                                                     std::size_t Entry) {
  clock::time_point Start = clock::now();
  request_result Result;
  try {
    kj::Promise<request_result> Exchange =
        exchange(Stream, Key, Attempt, Entry);
    kj::Promise<request_result> TimedExchange =
        Loop.io().provider->getTimer().timeoutAfter(
            toDuration(Stream.AnswerTimeout), kj::mv(Exchange));
    Result = co_await kj::mv(TimedExchange);
  } catch (const kj::Exception &Exception) {
    bool TimedOut = Exception.getType() == kj::Exception::Type::OVERLOADED;
    Result.Outcome = "unknown";
    Result.Reason = TimedOut ? "caller_timeout" : "caller_disconnected";
  }
  Result.Key = Key;
  Result.Attempts = Attempt;
  Result.Start = Start;
  Result.Latency = std::chrono::duration_cast<std::chrono::microseconds>(
      clock::now() - Start);
  co_return kj::mv(Result);
}

task<request_result> load_generator::exchange(const load_stream &Stream,
                                              std::string Key, unsigned Attempt,
                                              std::size_t Entry) {
  kj::HttpHeaders RequestHeaders(*Table);
  RequestHeaders.set(kj::HttpHeaderId::HOST,
                     kj::heapString(Entries[Entry].c_str()));
  RequestHeaders.set(OrganisationId,
                     kj::heapString(Stream.Organisation.c_str()));
  RequestHeaders.set(AttemptId, kj::str(Attempt));
  if (!Key.empty()) {
    RequestHeaders.set(KeyId, kj::heapString(Key.c_str()));
  }
  std::string Path = "/work/" + Stream.Template;
  const std::string Body = Stream.Body + Key;
  auto Request = Clients[Entry].Client->request(kj::HttpMethod::POST,
                                                Path.c_str(), RequestHeaders,
                                                std::uint64_t{Body.size()});
  co_await Request.body->write(Body.data(), Body.size());
  Request.body = nullptr;
  kj::HttpClient::Response Response = co_await kj::mv(Request.response);
  request_result Result;
  Result.Status = Response.statusCode;
  Result.Outcome = headerText(*Response.headers, OutcomeId);
  Result.Reason = headerText(*Response.headers, ReasonId);
  kj::String Text = co_await Response.body->readAllText();
  std::string ResponseBody(Text.cStr(), Text.size());
  bool BodyMatches = ResponseBody == "answer:" + Body;
  Result.Succeeded = Result.Status == 200 && BodyMatches;
  Result.BodyMismatch = Result.Status == 200 && !BodyMatches;
  co_return kj::mv(Result);
}

request_result load_generator::sendOne(const load_stream &Stream,
                                       const std::string &Key,
                                       std::size_t Entry) {
  request_result Result;
  Loop.await([&]() -> kj::Promise<void> {
    return kj::Promise<request_result>(sendWithTimeout(Stream, Key, 1, Entry))
        .then([&](request_result Received) { Result = std::move(Received); });
  });
  return Result;
}

std::vector<request_result> load_generator::results() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Results;
}

void load_generator::clear() {
  std::lock_guard<std::mutex> Lock(Mutex);
  Results.clear();
}

double percentile(std::vector<double> Samples, double Fraction) {
  if (Samples.empty()) {
    return 0.0;
  }
  auto Index = static_cast<std::size_t>(
      Fraction * static_cast<double>(Samples.size() - 1));
  std::nth_element(Samples.begin(),
                   Samples.begin() + static_cast<std::ptrdiff_t>(Index),
                   Samples.end());
  return Samples[Index];
}

stream_summary summarize(const std::vector<request_result> &Results,
                         std::size_t Stream, clock::time_point From,
                         clock::time_point To) {
  stream_summary Summary;
  std::vector<double> Latencies;
  for (const request_result &Result : Results) {
    if (Result.Stream != Stream || Result.Start < From || Result.Start >= To) {
      continue;
    }
    ++Summary.Offered;
    Summary.Attempts += Result.Attempts;
    if (Result.Succeeded) {
      ++Summary.Succeeded;
      Latencies.push_back(static_cast<double>(Result.Latency.count()) / 1000.0);
    } else {
      ++Summary.Reasons[Result.Reason.empty()
                            ? "status_" + std::to_string(Result.Status)
                            : Result.Reason];
    }
  }
  Summary.MedianMs = percentile(Latencies, 0.5);
  Summary.P99Ms = percentile(Latencies, 0.99);
  return Summary;
}

} // namespace figplank::standins
