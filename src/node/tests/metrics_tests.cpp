#include "node/metrics.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace figplank;
using namespace figplank::node;

TEST_GROUP(Metrics){};

TEST(Metrics, EachRouteHasItsOwnCounters) {
  node_metrics Metrics = makeMetrics();
  metricsOfRoute(Metrics, "read").Answers[0]->Increment();
  metricsOfRoute(Metrics, "read").Answers[0]->Increment();
  metricsOfRoute(Metrics, "spend").Share->Set(0.5);
  std::string Text = formatMetrics(Metrics);
  std::string Outcome(framework::OutcomeNames[0].Name);
  CHECK(Text.find("figplank_route_answers_total{outcome=\"" + Outcome +
                  "\",route=\"read\"} 2") != std::string::npos);
  CHECK(Text.find("figplank_route_share{route=\"spend\"} 0.5") !=
        std::string::npos);
}

TEST(Metrics, NumberOfRouteLabelsIsBounded) {
  node_metrics Metrics = makeMetrics();
  std::set<const route_metrics *> Distinct;
  for (int I = 0; I < 2'000; ++I) {
    Distinct.insert(&metricsOfRoute(Metrics, "r" + std::to_string(I)));
  }
  CHECK(Distinct.size() <= 301);
  POINTERS_EQUAL(&metricsOfRoute(Metrics, "other"),
                 &metricsOfRoute(Metrics, "r1999"));
}

TEST(Metrics, EveryReasonHasACounter) {
  std::string Text = formatMetrics(makeMetrics());
  for (std::size_t I = 0; I < framework::RefusalTable.size(); ++I) {
    std::string Label =
        "reason=\"" + std::string(framework::RefusalTable[I].Name) + "\"";
    CHECK(Text.find("figplank_refusals_total{" + Label) != std::string::npos);
  }
  for (const char *Name :
       {"figplank_hop_seconds", "figplank_queue_seconds",
        "figplank_backend_seconds", "figplank_routes_version",
        "figplank_news_age_seconds", "figplank_retries_total"}) {
    CHECK(Text.find(Name) != std::string::npos);
  }
}
