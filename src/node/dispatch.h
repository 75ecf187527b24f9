/// \file
/// The sending side of a call: chooses the upstream, retries within the retry
/// budget of the chain, and sends non-idempotent requests to the home of their
/// id.
#pragma once

#include "node/contexts.h"
#include "node/peers.h"
#include "node/upstream.h"

#include <memory>
#include <string>

namespace figplank::node {

class dispatcher {
public:
  dispatcher(node_runtime &Node, peer_pool &Peers,
             upstream_service &LocalUpstream);
  KJ_DISALLOW_COPY(dispatcher);

  /// Sends a caller's request, with the retry budget set in \p Request.
  task<work_answer> dispatchRoot(work_request Request);

  /// Sends a call that the backend server makes while it runs \p Parent. Takes
  /// the retry budget of the call from the parent's and returns the unused
  /// part.
  task<work_answer> dispatchChild(work_request Request,
                                  std::shared_ptr<call_context> Parent);

private:
  /// Result of one attempt, which may have ended without an answer.
  struct attempt_result {
    work_answer Answer;
    /// The upstream may have run the request.
    bool MayHaveRun = false;
    bool Answered = false;
    retry::retry_reason Reason = retry::retry_reason::UpstreamUnreachable;
  };

  task<work_answer> dispatch(work_request Request);
  task<work_answer> dispatchToAny(work_request Request);
  task<work_answer> dispatchToHome(work_request Request);
  task<attempt_result> sendToUpstream(std::string Address,
                                      work_request Request);
  task<attempt_result> sendToRemote(std::string Address, work_request Request);
  /// Takes one extra attempt from \p Budget and one token from the service's
  /// retry bucket. False if either is used up or the deadline has passed.
  bool acquireRetry(const work_request &Request, retry::retry_budget &Budget,
                    retry::retry_reason Reason, framework::monotonic_time Now);
  void recordUpstreamAnswer(const std::string &Address,
                            const routing::reported_load &Load,
                            framework::monotonic_time Now);
  void recordUpstreamFailure(const std::string &Address,
                             framework::monotonic_time Now);
  task<bool> backOff(unsigned Retry, framework::milliseconds RetryAfter,
                     framework::monotonic_time Deadline);
  /// Randomised wait to suggest to a refused caller.
  framework::milliseconds retryAfter(framework::milliseconds Objective);
  retry::retry_token_bucket &retryTokensOf(const std::string &Service);

  node_runtime &Node;
  peer_pool &Peers;
  upstream_service &LocalUpstream;
  routing::candidate_lists CandidateLists;
  std::uint64_t NextAttempt = 1;
  retry::backoff_settings Backoff;
};

} // namespace figplank::node
