/// \file
/// The upstream's side of a call: admission and the run at the backend server
/// beside this node.
#pragma once

#include "node/backend.h"
#include "node/contexts.h"
#include "node/crashmonitor.h"
#include "node/homeservice.h"
#include "node/notices.h"

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
  /// \p Dialect serves requests of routes; null where there are none.
  upstream_service(node_runtime &Node, peer_pool &Peers,
                   const wire_dialect *Dialect);
  KJ_DISALLOW_COPY(upstream_service);

  /// Runs or refuses a request for this node's backend server.
  task<work_answer> execute(work_request Request);

  /// Ends the control windows that are over.
  void tick(framework::monotonic_time Now);

  /// Requests at the backend server or in the queue.
  std::size_t unfinishedRequests() const;

  context_table Contexts;
  service_notifier Notifier;
  home_service Home;

private:
  friend class queue_turn;

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
  kj::Promise<backend_answer> sendToBackend(work_request &Request,
                                            const call_context &Context,
                                            std::uint32_t RemainingMs);
  task<work_answer> judgeResult(queue_turn &Turn, backend_answer Answer,
                                bool ChildFailed, bool Idempotent,
                                retry::fingerprint Fingerprint);
  /// The least urgent rank that may start a request now.
  std::optional<std::uint8_t> lastRankWithFreeSlot() const;
  /// Time that \p Request may wait for its turn.
  framework::microseconds longestWait(const work_request &Request,
                                      framework::monotonic_time Now) const;
  /// The own backend server leaves, and the other nodes had time to hear of it.
  bool isBackendLeaving(framework::monotonic_time Now) const;
  /// Share of requests like \p Request that this service and those below it
  /// admit.
  double chainShare(const work_request &Request,
                    framework::monotonic_time Now) const;
  void logRefused(const work_request &Request, framework::refusal_reason Reason,
                  framework::monotonic_time Now) const;
  void forgetContext(const call_context &Context);
  void dropQueue(framework::refusal_reason Reason);
  void drop(const admission::dropped_work &Dropped);
  void pump();
  void completeAnswer(work_answer &Answer, const work_request &Request);
  framework::microseconds serviceTime(const std::string &Template) const;
  void recordWait(std::uint8_t Rank, framework::microseconds Waited);
  /// The shortest wait of the rank that waits longest.
  framework::microseconds standingDelay() const;
  void recordServiceTime(const std::string &Template,
                         framework::microseconds Time);
  framework::milliseconds retryAfter();

  node_runtime &Node;
  backend_client Backend;
  crash_monitor Crashes;
  std::uint64_t NextTicket = 1;
  std::unordered_map<std::uint64_t, queue_turn *> Turns;
  /// Smoothed seconds at the backend server, by template.
  std::map<std::string, double> ServiceSeconds;
  /// Shortest wait of each rank, and longest wait, of the requests that left
  /// the queue in this window.
  std::array<std::optional<framework::microseconds>, configuration::RankCount>
      ShortestWaits;
  framework::microseconds LongestWait{0};
  std::uint32_t PeakInFlight = 0;
};

} // namespace figplank::node
