#include "node/decisionlog.h"

#include "framework/logging.h"

namespace figplank::node {
namespace {

using framework::inMilliseconds;
using framework::log_level;
using framework::logFrequentEvent;
using framework::monotonic_time;
using framework::nameOf;
using framework::refusal_reason;

/// The name that the caller gave a request of a route, or the id of the root
/// request.
const std::string &requestNameOrRootId(const work_request &Request) {
  return Request.Forwarded ? Request.Forwarded->RequestName : Request.RootId;
}

} // namespace

void logAnswer(const entry_record &Entry, const work_answer &Answer,
               monotonic_time Now) {
  bool Completed = Answer.Reason == refusal_reason::None;
  if (Completed && Now - Entry.Started <= Entry.LatencyObjective) {
    return;
  }
  logFrequentEvent(log_level::Info,
                   Completed ? "request_late" : "request_not_completed",
                   {{"request", Entry.Name},
                    {"route", Entry.Route},
                    {"outcome", nameOf(Answer.Outcome)},
                    {"reason", nameOf(Answer.Reason)},
                    {"status", static_cast<unsigned>(Answer.Status)},
                    {"upstream", Answer.Upstream},
                    {"attempts", static_cast<unsigned>(Answer.SendAttempts)},
                    {"duration_ms", inMilliseconds(Now - Entry.Started)},
                    {"share", Answer.ChainShare},
                    {"upstream_limit", Answer.Load.Limit},
                    {"upstream_in_flight", Answer.Load.InFlight},
                    {"upstream_queued", Answer.Load.Queued},
                    {"routes_version", Entry.RoutesVersion}},
                   Now);
}

void logRetry(const work_request &Request, std::string_view Upstream,
              std::string_view Cause, const work_answer &Answer,
              monotonic_time Now) {
  logFrequentEvent(log_level::Info, "request_retried",
                   {{"request", requestNameOrRootId(Request)},
                    {"route", Request.Template},
                    {"upstream", Upstream},
                    {"cause", Cause},
                    {"outcome", nameOf(Answer.Outcome)},
                    {"reason", nameOf(Answer.Reason)},
                    {"remaining_ms", inMilliseconds(Request.Deadline - Now)}},
                   Now);
}

void logRefusal(const work_request &Request, refusal_reason Reason,
                const refusal_inputs &Inputs, monotonic_time Now) {
  logFrequentEvent(log_level::Info, "request_refused",
                   {{"request", requestNameOrRootId(Request)},
                    {"route", Request.Template},
                    {"reason", nameOf(Reason)},
                    {"rank", static_cast<unsigned>(Request.Rank)},
                    {"depth", static_cast<unsigned>(Request.Depth)},
                    {"draw", Request.Draw},
                    {"share", Inputs.Share},
                    {"expected_run_ms", inMilliseconds(Inputs.ExpectedRun)},
                    {"remaining_ms", inMilliseconds(Request.Deadline - Now)},
                    {"limit", Inputs.Limit},
                    {"in_flight", Inputs.InFlight},
                    {"queued", static_cast<std::uint64_t>(Inputs.Queued)}},
                   Now);
}

void logEntryRefusal(const work_request &Request, double Share,
                     monotonic_time Now) {
  logFrequentEvent(log_level::Info, "request_refused_at_entry",
                   {{"request", requestNameOrRootId(Request)},
                    {"route", Request.Template},
                    {"rank", static_cast<unsigned>(Request.Rank)},
                    {"draw", Request.Draw},
                    {"share", Share}},
                   Now);
}

void logFailedRun(const work_request &Request, const work_answer &Answer,
                  monotonic_time Started, monotonic_time Now) {
  logFrequentEvent(
      log_level::Info, "run_failed",
      {{"request", requestNameOrRootId(Request)},
       {"route", Request.Template},
       {"outcome", nameOf(Answer.Outcome)},
       {"reason", nameOf(Answer.Reason)},
       {"status", static_cast<unsigned>(Answer.Status)},
       {"instance",
        Request.Forwarded ? Request.Forwarded->ExpectedInstance : ""},
       {"duration_ms", inMilliseconds(Now - Started)},
       {"remaining_ms", inMilliseconds(Request.Deadline - Now)}},
      Now);
}

void logUpstreamState(std::string_view Event, std::string_view Upstream,
                      monotonic_time Now) {
  logFrequentEvent(log_level::Info, Event, {{"upstream", Upstream}}, Now);
}

} // namespace figplank::node
