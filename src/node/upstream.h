/// \file
/// The upstream's side of a call: admission, the home of non-idempotent ids,
/// and the run at the backend server beside this node.
#pragma once

#include "node/backend.h"
#include "node/contexts.h"
#include "node/peers.h"
#include "node/wire.h"

#include <unordered_map>
#include <vector>

namespace figplank::node {

class upstream_service;

/// A request's place in the queue and then its slot at the backend server;
/// given back when it goes out of scope.
class queue_turn {
public:
  queue_turn(upstream_service &Service, std::uint64_t Ticket)
      : Service(Service), Ticket(Ticket) {}
  ~queue_turn();
  KJ_DISALLOW_COPY(queue_turn);

  upstream_service &Service;
  std::uint64_t Ticket;
  bool Queued = false;
  bool Granted = false;
  admission::run_result Result = admission::run_result::Cancelled;
  kj::Own<kj::PromiseFulfiller<framework::refusal_reason>> Fulfiller;
};

class upstream_service {
public:
  upstream_service(node_runtime &Node, peer_pool &Peers);
  KJ_DISALLOW_COPY(upstream_service);

  /// Runs or refuses a request for this node's backend server.
  task<work_answer> execute(work_request Request);

  /// Answers another home that asks for an id.
  task<handover_answer> handOver(execution::request_id Id, std::string Asker,
                                 std::vector<std::string> Asked);

  /// Takes crash reports and drain announcements of other nodes.
  void applyNotice(const std::vector<retry::crash_report> &Reports,
                   const std::vector<std::string> &Draining);

  /// Keeps this node's own calls from choosing it as their upstream.
  void excludeSelf();

  /// Tells the service's nodes that this one leaves.
  task<void> announceDrain();

  /// Ends the control windows that are over.
  void tick(framework::monotonic_time Now);

  /// Requests at the backend server or in the queue.
  std::size_t unfinished() const;

  context_table Contexts;

private:
  friend class queue_turn;

  task<work_answer> executeOnce(work_request Request);
  /// Asks \p Homes one after the other; true once they have all given the id
  /// up, or one has told its outcome.
  task<bool> askPriorHomes(std::vector<std::string> Homes,
                           execution::request_id Id);
  task<handover_answer> askPriorHome(std::string Address,
                                     execution::request_id Id,
                                     std::vector<std::string> Asked);
  task<work_answer> runOnce(work_request Request);
  task<work_answer> joinRun(execution::request_id Id);
  task<work_answer> admitAndRun(work_request Request);
  task<framework::refusal_reason>
  awaitSuspects(retry::fingerprint Fingerprint,
                framework::monotonic_time Deadline);
  framework::refusal_reason admit(work_request &Request,
                                  framework::monotonic_time Now);
  task<framework::refusal_reason> awaitTurn(queue_turn &Turn,
                                            const work_request &Request);
  task<work_answer> runAtBackend(queue_turn &Turn, work_request Request,
                                 retry::fingerprint Fingerprint);
  task<work_answer> judgeResult(queue_turn &Turn, backend_answer Answer,
                                bool ChildFailed, bool Idempotent,
                                retry::fingerprint Fingerprint);
  task<bool> awaitCrashCheck(retry::fingerprint Fingerprint);
  task<bool> checkCrash();
  task<void> notifyPeers(std::vector<retry::crash_report> Reports,
                         std::vector<std::string> Draining);
  task<void> notifyPeer(std::string Address,
                        std::vector<retry::crash_report> Reports,
                        std::vector<std::string> Draining);
  /// The least urgent rank that may start a request now.
  std::optional<std::uint8_t> lastRankWithRoom() const;
  void drop(const admission::dropped_work &Dropped);
  void pump();
  void completeAnswer(work_answer &Answer, const work_request &Request);
  framework::microseconds serviceTime(const std::string &Template) const;
  void recordWait(framework::microseconds Waited);
  void recordServiceTime(const std::string &Template,
                         framework::microseconds Time);
  framework::milliseconds retryAfter();

  node_runtime &Node;
  peer_pool &Peers;
  backend_client Backend;
  std::uint64_t NextTicket = 1;
  std::unordered_map<std::uint64_t, queue_turn *> Turns;
  /// Runs of non-idempotent ids, for copies that wait for the same run.
  std::unordered_map<execution::request_id, kj::ForkedPromise<work_answer>,
                     execution::request_id_hash>
      Runs;
  /// Smoothed seconds at the backend server, by template.
  std::map<std::string, double> ServiceSeconds;
  /// Shortest and longest wait of the requests that began in this window.
  std::optional<framework::microseconds> ShortestWait;
  framework::microseconds LongestWait{0};
  /// Fingerprints whose connections were lost since the last crash check.
  std::vector<retry::fingerprint> Lost;
  kj::Maybe<kj::ForkedPromise<bool>> CrashCheck;
};

} // namespace figplank::node
