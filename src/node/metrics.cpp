#include "node/metrics.h"

#include <prometheus/text_serializer.h>

namespace figplank::node {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Registry;

prometheus::Counter *addCounter(Registry &To, const std::string &Name,
                                const std::string &Help) {
  return &BuildCounter().Name(Name).Help(Help).Register(To).Add({});
}

prometheus::Gauge *addGauge(Registry &To, const std::string &Name,
                            const std::string &Help) {
  return &BuildGauge().Name(Name).Help(Help).Register(To).Add({});
}

refusal_counters addRefusals(Registry &To, const std::string &Name,
                             const std::string &Help) {
  auto &Family = BuildCounter().Name(Name).Help(Help).Register(To);
  refusal_counters Counters{};
  for (std::size_t I = 0; I < Counters.size(); ++I) {
    Counters[I] =
        &Family.Add({{"reason", std::string(framework::RefusalTable[I].Name)}});
  }
  return Counters;
}

void addRetries(node_metrics &Metrics) {
  auto &Family = BuildCounter()
                     .Name("figplank_retries_total")
                     .Help("Tries beyond the first, by reason")
                     .Register(*Metrics.Registry);
  for (std::size_t I = 0; I < Metrics.Retries.size(); ++I) {
    Metrics.Retries[I] =
        &Family.Add({{"reason", std::string(retry::RetryReasonNames[I].Name)}});
  }
}

void addOutcomes(node_metrics &Metrics) {
  auto &Family = BuildCounter()
                     .Name("figplank_answers_total")
                     .Help("Answers to callers, by outcome")
                     .Register(*Metrics.Registry);
  for (std::size_t I = 0; I < Metrics.AnsweredOutcomes.size(); ++I) {
    std::string Name(framework::OutcomeNames[I].Name);
    Metrics.AnsweredOutcomes[I] = &Family.Add({{"outcome", Name}});
  }
}

/// Maximum number of route labels, without "other".
constexpr std::size_t MaxRouteLabels = 300;

const prometheus::Histogram::BucketBoundaries &secondsBuckets() {
  static const prometheus::Histogram::BucketBoundaries Seconds{
      0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0};
  return Seconds;
}

prometheus::Histogram *addHistogram(Registry &To, const std::string &Name,
                                    const std::string &Help) {
  return &BuildHistogram().Name(Name).Help(Help).Register(To).Add(
      {}, secondsBuckets());
}

void addTiming(node_metrics &Metrics) {
  Registry &To = *Metrics.Registry;
  Metrics.Timing.Hop = addHistogram(
      To, "figplank_hop_seconds", "Time from sending to an upstream's answer");
  Metrics.Timing.Queue = addHistogram(
      To, "figplank_queue_seconds", "Time in the queue of the backend server");
  Metrics.Timing.Backend = addHistogram(To, "figplank_backend_seconds",
                                        "Time at the backend server");
}

void addRoutes(node_metrics &Metrics) {
  Registry &To = *Metrics.Registry;
  Metrics.ByRoute.Answers = &BuildCounter()
                                 .Name("figplank_route_answers_total")
                                 .Help("Answers to callers, by route")
                                 .Register(To);
  Metrics.ByRoute.Seconds = &BuildHistogram()
                                 .Name("figplank_route_answer_seconds")
                                 .Help("Time to answer a caller, by route")
                                 .Register(To);
  Metrics.ByRoute.Shares =
      &BuildGauge()
           .Name("figplank_route_share")
           .Help("Share of a route's requests that is admitted at the door")
           .Register(To);
}

void addLatency(node_metrics &Metrics) {
  auto &Family = BuildHistogram()
                     .Name("figplank_answer_seconds")
                     .Help("Time to answer a caller, by rank")
                     .Register(*Metrics.Registry);
  for (std::size_t Rank = 0; Rank < Metrics.Latency.size(); ++Rank) {
    Metrics.Latency[Rank] =
        &Family.Add({{"rank", std::to_string(Rank)}}, secondsBuckets());
  }
}

void addDissemination(node_metrics &Metrics) {
  Registry &To = *Metrics.Registry;
  dissemination_counters &Counters = Metrics.Dissemination;
  Counters.PlatformCalls =
      addCounter(To, "figplank_platform_calls_total", "Calls to the platform");
  auto &Failures = BuildCounter()
                       .Name("figplank_platform_failures_total")
                       .Help("Failed reads of the platform, by reason")
                       .Register(To);
  for (std::size_t I = 0; I < Counters.PlatformFailures.size(); ++I) {
    Counters.PlatformFailures[I] =
        &Failures.Add({{"reason", std::string(ReadFailureNames[I].Name)}});
  }
  Counters.EntriesAccepted = addCounter(To, "figplank_entries_accepted_total",
                                        "Configuration entries accepted");
  Counters.EntriesRefused = addCounter(To, "figplank_entries_refused_total",
                                       "Configuration entries refused");
  Counters.EntriesNotNewer = addCounter(To, "figplank_entries_not_newer_total",
                                        "Configuration entries already held");
  Counters.EntriesOutdated = addCounter(
      To, "figplank_entries_outdated_total",
      "Configuration entries of a newer era, older than what is in force");
  Counters.EraChanges = addCounter(
      To, "figplank_platform_era_changes_total",
      "Returns of the platform from an older copy that were noticed");
  Counters.PlatformReturns = addCounter(
      To, "figplank_platform_returns_total",
      "Answers of the platform after it can have been away for long");
  Counters.RemovalsHeld =
      addCounter(To, "figplank_removals_held_total",
                 "Removals of instances that were held back after a return of "
                 "the platform");
  Counters.HeldRemovals =
      &prometheus::BuildGauge()
           .Name("figplank_held_removals")
           .Help("Removals of instances that are held back now")
           .Register(To)
           .Add({});
  Counters.Era = &prometheus::BuildGauge()
                      .Name("figplank_platform_era")
                      .Help("Era of the platform's data")
                      .Register(To)
                      .Add({});
  Counters.Pushes =
      addCounter(To, "figplank_pushes_total", "Pushes sent to peers");
  Counters.Exchanges =
      addCounter(To, "figplank_exchanges_total", "Exchanges begun with peers");
}

void addMemory(node_metrics &Metrics) {
  Registry &To = *Metrics.Registry;
  auto &Used = BuildGauge()
                   .Name("figplank_memory_bytes")
                   .Help("Memory held for clients, by class")
                   .Register(To);
  auto &Denials = BuildGauge()
                      .Name("figplank_memory_denials")
                      .Help("Items that found no room so far, by class")
                      .Register(To);
  for (std::size_t I = 0; I < framework::MemoryClassNames.size(); ++I) {
    const std::string Name(framework::MemoryClassNames[I].Name);
    Metrics.Memory.Used[I] = &Used.Add({{"class", Name}});
    Metrics.Memory.Denials[I] = &Denials.Add({{"class", Name}});
  }
  Metrics.Memory.Free =
      addGauge(To, "figplank_memory_free_bytes", "Memory left for clients");
}

void addConnections(node_metrics &Metrics) {
  Registry &To = *Metrics.Registry;
  Metrics.Connections =
      addGauge(To, "figplank_connections", "Open connections of callers");
  auto &Family =
      BuildCounter()
          .Name("figplank_connection_ends_total")
          .Help("Ends of callers' connections, by reason and whether responses "
                "were owed")
          .Register(To);
  for (std::size_t Row = 0; Row < Metrics.ConnectionEnds.size(); ++Row) {
    for (std::size_t I = 0; I < http::ConnectionEndNames.size(); ++I) {
      Metrics.ConnectionEnds[Row][I] = &Family.Add(
          {{"reason", std::string(http::ConnectionEndNames[I].Name)},
           {"owing", Row == 0 ? "no" : "yes"}});
    }
  }
}

} // namespace

node_metrics makeMetrics() {
  node_metrics Metrics;
  Metrics.Registry = std::make_shared<Registry>();
  Registry &To = *Metrics.Registry;
  Metrics.LocalRefusals =
      addRefusals(To, "figplank_refusals_total",
                  "Requests refused for the backend server, by reason");
  Metrics.AnsweredReasons = addRefusals(To, "figplank_answer_reasons_total",
                                        "Answers to callers, by reason");
  addOutcomes(Metrics);
  addRetries(Metrics);
  addLatency(Metrics);
  addTiming(Metrics);
  addRoutes(Metrics);
  addDissemination(Metrics);
  addMemory(Metrics);
  addConnections(Metrics);
  Metrics.FirstTries =
      addCounter(To, "figplank_first_tries_total", "First tries sent");
  Metrics.MalformedMessages =
      addCounter(To, "figplank_malformed_messages_total",
                 "Messages that could not be read");
  Metrics.StaleAnswers = addCounter(To, "figplank_stale_answers_total",
                                    "Answers that came after the deadline");
  Metrics.DeadConnections = addCounter(To, "figplank_dead_connections_total",
                                       "Connections found silent");
  Metrics.BackendCrashes = addCounter(To, "figplank_backend_crashes_total",
                                      "Deaths of the backend server");
  Metrics.Pauses =
      addCounter(To, "figplank_pauses_total", "Pauses of this process");
  Metrics.InFlight =
      addGauge(To, "figplank_in_flight", "Requests at the backend server");
  Metrics.Limit =
      addGauge(To, "figplank_limit", "Limit of concurrent requests");
  Metrics.ServerLimit = addGauge(
      To, "figplank_server_limit",
      "Requests per second that the backend server names; 0 without a limit");
  Metrics.Queued = addGauge(To, "figplank_queued",
                            "Requests that wait for the backend server");
  Metrics.Revision =
      addGauge(To, "figplank_revision", "Highest configuration revision held");
  Metrics.RoutesVersion =
      addGauge(To, "figplank_routes_version", "Version of the routes in force");
  Metrics.UpdateAge =
      addGauge(To, "figplank_news_age_seconds",
               "Time since the platform or a peer was last heard");
  Metrics.Suspects =
      addGauge(To, "figplank_suspects", "Requests suspected of crashes");
  Metrics.IdsRun = addGauge(To, "figplank_ids_run", "Ids kept that ran");
  Metrics.IdsFenced =
      addGauge(To, "figplank_ids_fenced", "Ids kept that were refused");
  return Metrics;
}

route_metrics &metricsOfRoute(node_metrics &Metrics, std::string_view Route) {
  route_families &Families = Metrics.ByRoute;
  auto Found = Families.Routes.find(Route);
  if (Found != Families.Routes.end()) {
    return Found->second;
  }
  if (Families.Routes.size() >= MaxRouteLabels && Route != "other") {
    return metricsOfRoute(Metrics, "other");
  }
  const std::string Name(Route);
  route_metrics Created;
  for (std::size_t I = 0; I < Created.Answers.size(); ++I) {
    Created.Answers[I] = &Families.Answers->Add(
        {{"route", Name},
         {"outcome", std::string(framework::OutcomeNames[I].Name)}});
  }
  Created.Seconds = &Families.Seconds->Add({{"route", Name}}, secondsBuckets());
  Created.Share = &Families.Shares->Add({{"route", Name}});
  return Families.Routes.emplace(Name, Created).first->second;
}

std::string formatMetrics(const node_metrics &Metrics) {
  return prometheus::TextSerializer().Serialize(Metrics.Registry->Collect());
}

} // namespace figplank::node
