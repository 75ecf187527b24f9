/// \file
/// The receiving side of a call: admission, queueing and the run at the local
/// backend server.
#pragma once

#include "node/backend.h"
#include "node/backendqueue.h"
#include "node/contexts.h"
#include "node/crashmonitor.h"
#include "node/homeservice.h"
#include "node/notices.h"

namespace figplank::node {

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
  task<work_answer> admitAndRun(work_request Request);
  task<framework::refusal_reason>
  awaitSuspectClearance(retry::fingerprint Fingerprint,
                        framework::monotonic_time Deadline, bool &RunsAlone);
  framework::refusal_reason admit(work_request &Request,
                                  framework::monotonic_time Now);
  task<work_answer> runAtBackend(admission_permit &Permit, work_request Request,
                                 retry::fingerprint Fingerprint);
  kj::Promise<backend_answer> sendToBackend(work_request &Request,
                                            const call_context &Context,
                                            std::uint32_t RemainingMs);
  task<work_answer> evaluateBackendAnswer(admission_permit &Permit,
                                          backend_answer Received,
                                          bool ChildFailed, bool Idempotent,
                                          retry::fingerprint Fingerprint);
  /// Records the limit that an answer of the local backend server names, if it
  /// names one.
  void recordNamedLimit(std::optional<double> PerSecond);
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
  void finaliseAnswer(work_answer &Answer, const work_request &Request);
  framework::milliseconds retryAfter();

  node_runtime &Node;
  admission::service_times ServiceTimes;
  backend_queue Queue;
  backend_client Backend;
  crash_monitor Crashes;
};

} // namespace figplank::node
