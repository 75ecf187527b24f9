/// \file
/// An open-loop load generator: requests start at their times whatever
/// becomes of earlier ones, as callers do.
#pragma once

#include "framework/coroutine.h"
#include "standins/loopthread.h"

#include <kj/compat/http.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace figplank::standins {

using framework::task;

/// One kind of request at one rate.
struct load_stream {
  std::string Name;
  std::string Template;
  std::string Organisation;
  /// Requests per second.
  double Rate = 10.0;
  /// Sends a new Idempotency-Key with each request.
  bool WithKey = false;
  /// Times that the caller sends a request again after a failure.
  unsigned Resends = 0;
  /// Pause before a resend; zero resends at once, as hard callers do.
  std::chrono::milliseconds ResendPause{0};
  /// Wait of the caller for one answer.
  std::chrono::milliseconds AnswerTimeout{5'000};
  std::string Body = "body";
};

/// How one request ended.
struct request_result {
  std::size_t Stream = 0;
  std::string Key;
  std::chrono::steady_clock::time_point Start;
  std::chrono::microseconds Latency{0};
  /// Status of the last answer, 0 for none.
  unsigned Status = 0;
  std::string Outcome;
  std::string Reason;
  /// The answer was the complete answer to this request.
  bool Whole = false;
  /// Status 200 with a body that is not this request's answer.
  bool Wrong = false;
  unsigned Attempts = 0;
};

struct stream_summary {
  std::uint64_t Offered = 0;
  std::uint64_t Whole = 0;
  std::uint64_t Attempts = 0;
  std::map<std::string, std::uint64_t> Reasons;
  double MedianMs = 0.0;
  double P99Ms = 0.0;
};

class load_generator {
public:
  /// Spreads the requests over \p Entries, HTTP addresses of nodes.
  explicit load_generator(std::vector<std::string> Entries);
  ~load_generator();
  load_generator(const load_generator &) = delete;
  load_generator &operator=(const load_generator &) = delete;

  /// Offers \p Streams for \p Duration and waits for all answers.
  void run(const std::vector<load_stream> &Streams,
           std::chrono::milliseconds Duration);

  /// Sends one request through entry \p Entry.
  request_result sendOne(const load_stream &Stream, const std::string &Key,
                         std::size_t Entry);

  std::vector<request_result> results() const;
  void clear();

private:
  struct entry_client {
    kj::Own<kj::NetworkAddress> Address;
    kj::Own<kj::HttpClient> Client;
  };

  task<void> offer(const load_stream &Stream, std::size_t Index,
                   std::chrono::milliseconds Duration, kj::TaskSet &Requests);
  task<void> sendWithResends(const load_stream &Stream, std::size_t Index);
  task<request_result> send(const load_stream &Stream, std::string Key,
                            unsigned Attempt, std::size_t Entry);
  task<request_result> exchange(const load_stream &Stream, std::string Key,
                                unsigned Attempt, std::size_t Entry);
  std::string newKey();

  std::vector<std::string> Entries;
  loop_thread Loop;
  std::vector<entry_client> Clients;
  kj::HttpHeaderId OrganisationId;
  kj::HttpHeaderId KeyId;
  kj::HttpHeaderId AttemptId;
  kj::HttpHeaderId OutcomeId;
  kj::HttpHeaderId ReasonId;
  kj::Own<kj::HttpHeaderTable> Table;
  std::mt19937_64 Random{std::random_device{}()};
  mutable std::mutex Mutex;
  std::vector<request_result> Results;
};

/// Sums up the results of stream \p Stream that started in [\p From, \p To).
stream_summary summarize(const std::vector<request_result> &Results,
                         std::size_t Stream,
                         std::chrono::steady_clock::time_point From =
                             std::chrono::steady_clock::time_point::min(),
                         std::chrono::steady_clock::time_point To =
                             std::chrono::steady_clock::time_point::max());

/// The value below which \p Part of \p Samples lie; 0 for none.
double percentile(std::vector<double> Samples, double Part);

} // namespace figplank::standins
