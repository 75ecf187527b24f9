/// \file
/// The receiving side of a call: admission, queueing and the run at the local
/// backend server.
#pragma once

#include "admission/servicetimes.h"
#include "node/backend.h"
#include "node/contexts.h"
#include "node/crashmonitor.h"
#include "node/homeservice.h"
#include "node/notices.h"

#include <unordered_map>
#include <vector>

namespace figplank::node {

class upstream_service;

/// A request's place in the queue and later its concurrency slot at the backend
/// server. The destructor releases whichever is held.
class admission_permit {
public:
  admission_permit(upstream_service &Service, std::uint64_t Ticket)
      : Service(Service), Ticket(Ticket) {}
  ~admission_permit();
  KJ_DISALLOW_COPY(admission_permit);

  upstream_service &Service;
  std::uint64_t Ticket;
  bool Queued = false;
  bool Granted = false;
  admission::run_result Result = admission::run_result::Cancelled;
  kj::Own<kj::PromiseFulfiller<framework::refusal_reason>> Fulfiller;
};

class upstream_service {
public:
  /// \p Dialect is used for requests of routes; null on a node without routes.
  upstream_service(node_runtime &Node, peer_pool &Peers,
                   const wire_dialect *Dialect);
  KJ_DISALLOW_COPY(upstream_service);

  /// Runs a request at the local backend server, or refuses it.
  task<work_answer> execute(work_request Request);

  /// Closes the control windows that have ended. Called periodically.
  void tick(framework::monotonic_time Now);

  /// Number of requests at the backend server or in the queue.
  std::size_t unfinishedRequests() const;

  context_table Contexts;
  service_notifier Notifier;
  home_service Home;

private:
  friend class admission_permit;

  task<work_answer> admitAndRun(work_request Request);
  task<framework::refusal_reason>
  awaitSuspectClearance(retry::fingerprint Fingerprint,
                        framework::monotonic_time Deadline);
  framework::refusal_reason admit(work_request &Request,
                                  framework::monotonic_time Now);
  task<framework::refusal_reason> awaitPermit(admission_permit &Permit,
                                              const work_request &Request);
  task<work_answer> runAtBackend(admission_permit &Permit, work_request Request,
                                 retry::fingerprint Fingerprint);
  kj::Promise<backend_answer> sendToBackend(work_request &Request,
                                            const call_context &Context,
                                            std::uint32_t RemainingMs);
  task<work_answer> evaluateBackendAnswer(admission_permit &Permit,
                                          backend_answer Received,
                                          bool ChildFailed, bool Idempotent,
                                          retry::fingerprint Fingerprint);
  /// The least urgent rank that has a free slot now; nothing if no rank has.
  std::optional<std::uint8_t> leastUrgentRankWithFreeSlot() const;
  /// Maximum time that \p Request may wait in the queue.
  framework::microseconds maxQueueWait(const work_request &Request,
                                       framework::monotonic_time Now) const;
  /// Whether the local backend server is leaving and the grace period for
  /// callers that do not know this yet is over.
  bool isBackendLeaving(framework::monotonic_time Now) const;
  /// Share of requests like \p Request that this service and the services below
  /// it admit.
  double chainShare(const work_request &Request,
                    framework::monotonic_time Now) const;
  void logRefused(const work_request &Request, framework::refusal_reason Reason,
                  framework::monotonic_time Now) const;
  void removeContext(const call_context &Context);
  void dropQueuedRequests(framework::refusal_reason Reason);
  void drop(const admission::dropped_work &Dropped);
  void grantFreeSlots();
  void finaliseAnswer(work_answer &Answer, const work_request &Request);
  void recordWait(std::uint8_t Rank, framework::microseconds Waited);
  /// Delay of the standing queue: the highest of the ranks' minimum waits in
  /// this window.
  framework::microseconds standingDelay() const;
  framework::milliseconds retryAfter();

  node_runtime &Node;
  backend_client Backend;
  crash_monitor Crashes;
  std::uint64_t NextTicket = 1;
  std::unordered_map<std::uint64_t, admission_permit *> Permits;
  admission::service_times ServiceTimes;
  /// Minimum wait of each rank, and maximum wait over all ranks, of the
  /// requests that left the queue in this window.
  std::array<std::optional<framework::microseconds>, configuration::RankCount>
      MinWaits;
  framework::microseconds MaxWait{0};
  std::uint32_t PeakInFlight = 0;
};

} // namespace figplank::node
