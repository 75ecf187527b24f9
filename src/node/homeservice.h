/// \file
/// Execution of non-idempotent requests at the home of their id: asks the prior
/// homes about the id, runs it at most once with all copies waiting for that
/// run, and records the outcome.
#pragma once

#include "node/peers.h"
#include "node/wire.h"
#include "node/worktypes.h"

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace figplank::node {

class home_service {
public:
  /// \p Run admits a request and runs it at the local backend server.
  home_service(node_runtime &Node, peer_pool &Peers,
               std::function<task<work_answer>(work_request)> Run);
  KJ_DISALLOW_COPY(home_service);

  /// Runs the request, waits for a run in progress, or answers from the record
  /// of its id.
  task<work_answer> execute(work_request Request);

  /// Answers \p Asker, another home of \p Id, about this id. The homes in
  /// \p Asked have already handed the id over to it.
  task<handover_answer> handOver(execution::request_id Id, std::string Asker,
                                 std::vector<std::string> Asked);

private:
  /// Asks \p Homes one after the other. True if all of them have handed the id
  /// over or one has returned a record of it.
  task<bool> askPriorHomes(std::vector<std::string> Homes,
                           execution::request_id Id);
  task<handover_answer> askPriorHome(std::string Address,
                                     execution::request_id Id,
                                     std::vector<std::string> Asked);
  task<work_answer> runOnce(work_request Request);
  task<work_answer> joinRun(execution::request_id Id);

  node_runtime &Node;
  peer_pool &Peers;
  std::function<task<work_answer>(work_request)> Run;
  /// Runs in progress, by id; copies of an id wait for its run.
  std::unordered_map<execution::request_id, kj::ForkedPromise<work_answer>,
                     execution::request_id_hash>
      ActiveRuns;
};

} // namespace figplank::node
