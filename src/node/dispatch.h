/// \file
/// The caller's side of a call: choice of the upstream, retries within the
/// chain's budget, and the way to the home of a non-idempotent id.
#pragma once

#include "node/contexts.h"
#include "node/peers.h"
#include "node/upstream.h"

#include <memory>
#include <string>

namespace figplank::node {

class dispatcher {
public:
  dispatcher(node_runtime &Node, peer_pool &Peers, upstream_service &Own);
  KJ_DISALLOW_COPY(dispatcher);

  /// Sends a caller's request. Its budget is in the request.
  task<work_answer> dispatchRoot(work_request Request);

  /// Sends a call that the run of \p Parent makes; takes its budget from the
  /// parent's and gives back what was not used.
  task<work_answer> dispatchChild(work_request Request,
                                  std::shared_ptr<call_context> Parent);

private:
  /// One try that may have ended without an answer.
  struct try_result {
    work_answer Answer;
    /// The request may have reached the upstream.
    bool MayHaveRun = false;
    bool Answered = false;
    retry::retry_reason Reason = retry::retry_reason::UpstreamUnreachable;
  };

  task<work_answer> dispatch(work_request Request);
  task<work_answer> dispatchToAny(work_request Request);
  task<work_answer> dispatchToHome(work_request Request);
  task<try_result> tryUpstream(std::string Address, work_request Request);
  task<try_result> tryRemote(std::string Address, work_request Request);
  /// Takes what one retry costs, if the budget, the allowance and the deadline
  /// leave it.
  bool takeRetry(const work_request &Request, retry::retry_budget &Budget,
                 retry::retry_reason Reason, framework::monotonic_time Now);
  void recordHeard(const std::string &Address,
                   const routing::reported_load &Load,
                   framework::monotonic_time Now);
  void recordLost(const std::string &Address, framework::monotonic_time Now);
  task<bool> backOff(unsigned Retry, framework::milliseconds RetryAfter,
                     framework::monotonic_time Deadline);
  /// When a refused caller may come back.
  framework::milliseconds retryAfter(framework::milliseconds Objective);
  retry::retry_token_bucket &allowanceOf(const std::string &Service);

  node_runtime &Node;
  peer_pool &Peers;
  upstream_service &Own;
  std::uint64_t NextAttempt = 1;
  retry::backoff_settings Backoff;
};

} // namespace figplank::node
