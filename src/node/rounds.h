/// \file
/// Rounds: batches of requests that the entry accepts or refuses as a whole. A
/// request of an accepted round that did not run is retried until the round's
/// deadline. Each attempt uses an id derived from the round's id, the index of
/// the request and the number of the attempt.
#pragma once

#include "admission/roundplan.h"
#include "framework/asyncsemaphore.h"
#include "node/dispatch.h"

#include <string>
#include <vector>

namespace figplank::node {

/// A received round. All its requests use the same template.
struct round_request {
  /// The values common to all requests; its id is the id of the round.
  work_request Common;
  std::vector<std::string> Bodies;
  framework::monotonic_time Deadline;
  framework::milliseconds RequestDeadline{0};
};

struct round_answer {
  framework::outcome Outcome = framework::outcome::NotRun;
  framework::refusal_reason Reason = framework::refusal_reason::None;
  /// Answers in the order of the bodies; empty for a refused round.
  std::vector<work_answer> Answers;
};

/// Parses `{"requests": ["body", ...]}`. False if \p Text has another format.
bool readRound(const std::string &Text, std::vector<std::string> &Bodies);

/// Formats the answer to a round as JSON.
std::string formatRound(const round_answer &Answer);

class round_service {
public:
  round_service(node_runtime &Node, dispatcher &Dispatcher);
  KJ_DISALLOW_COPY(round_service);

  /// Executes a round. It continues if the caller disconnects.
  task<round_answer> serve(round_request Round);

private:
  task<round_answer> executeAll(round_request Round);
  framework::refusal_reason admit(const round_request &Round);
  task<void> executeRequest(const round_request &Round, std::size_t Index,
                            work_answer &Answer);
  task<work_answer> sendAttempt(const round_request &Round, std::size_t Index,
                                unsigned Attempt);

  node_runtime &Node;
  dispatcher &Dispatcher;
  admission::round_load Load;
  /// Limits the number of requests of rounds in progress.
  framework::async_semaphore RequestSlots;
};

} // namespace figplank::node
