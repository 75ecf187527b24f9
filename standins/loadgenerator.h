/// \file
/// An open-loop load generator: requests start on schedule, independently of
/// the responses to earlier ones, as those of real callers do.
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

/// Requests of one template and organisation at one rate.
struct load_stream {
  std::string Name;
  std::string Template;
  std::string Organisation;
  /// Requests per second.
  double Rate = 10.0;
  /// Sends a new Idempotency-Key with each request; resends keep it.
  bool WithKey = false;
  /// Maximum number of times that the caller resends a failed request.
  unsigned Resends = 0;
  /// Delay before a resend; zero resends at once, as callers without backoff
  /// do.
  std::chrono::milliseconds ResendPause{0};
  /// Time that the caller waits for each response.
  std::chrono::milliseconds AnswerTimeout{5'000};
  std::string Body = "body";
};

/// Result of one request, its resends included.
struct request_result {
  std::size_t Stream = 0;
  std::string Key;
  std::chrono::steady_clock::time_point Start;
  std::chrono::microseconds Latency{0};
  /// HTTP status of the last response; 0 if there was none.
  unsigned Status = 0;
  std::string Outcome;
  std::string Reason;
  /// The response had status 200 and the complete body expected for this
  /// request.
  bool Succeeded = false;
  /// The response had status 200 and a body not expected for this request.
  bool BodyMismatch = false;
  unsigned Attempts = 0;
};

struct stream_summary {
  std::uint64_t Offered = 0;
  std::uint64_t Succeeded = 0;
  std::uint64_t Attempts = 0;
  std::map<std::string, std::uint64_t> Reasons;
  double MedianMs = 0.0;
  double P99Ms = 0.0;
};

class load_generator {
public:
  /// Sends each request to a random entry node; \p Entries are the HTTP
  /// addresses.
  explicit load_generator(std::vector<std::string> Entries);
  ~load_generator();
  load_generator(const load_generator &) = delete;
  load_generator &operator=(const load_generator &) = delete;

  /// Generates the load of \p Streams for \p Duration, then waits until all
  /// requests have ended.
  void run(const std::vector<load_stream> &Streams,
           std::chrono::milliseconds Duration);

  /// Sends one request, without resends, to the entry node with index
  /// \p Entry.
  request_result sendOne(const load_stream &Stream, const std::string &Key,
                         std::size_t Entry);

  std::vector<request_result> results() const;
  void clear();

private:
  struct node_client {
    kj::Own<kj::NetworkAddress> Address;
    kj::Own<kj::HttpClient> Client;
  };

  task<void> generateRequests(const load_stream &Stream, std::size_t Index,
                              std::chrono::milliseconds Duration,
                              kj::TaskSet &Requests);
  task<void> sendWithResends(const load_stream &Stream, std::size_t Index);
  task<request_result> sendWithTimeout(const load_stream &Stream,
                                       std::string Key, unsigned Attempt,
                                       std::size_t Entry);
  task<request_result> exchange(const load_stream &Stream, std::string Key,
                                unsigned Attempt, std::size_t Entry);
  std::string newKey();

  std::vector<std::string> Entries;
  loop_thread Loop;
  std::vector<node_client> Clients;
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

/// Summarizes the results of the requests of stream \p Stream that started in
/// [\p From, \p To).
stream_summary summarize(const std::vector<request_result> &Results,
                         std::size_t Stream,
                         std::chrono::steady_clock::time_point From =
                             std::chrono::steady_clock::time_point::min(),
                         std::chrono::steady_clock::time_point To =
                             std::chrono::steady_clock::time_point::max());

/// The sample below which the fraction \p Fraction of \p Samples lies; 0 if
/// there are none.
double percentile(std::vector<double> Samples, double Fraction);

} // namespace figplank::standins
