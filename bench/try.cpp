#include "standins/fleet.h"
#include "standins/loadgenerator.h"
#include <cstdio>
using namespace figplank::standins;
int main() {
  fleet_spec S;
  S.Organisations = {"alpha", "beta"};
  S.Services = {
      {"hints",
       2,
       10,
       {{"/reveal", {std::chrono::microseconds(2000), {{"charge"}}}},
        {"/grid", {std::chrono::microseconds(2000), {}}}}},
      {"ledger", 2, 10, {{"/charge", {std::chrono::microseconds(2000), {}}}}}};
  S.Templates = {{"grid", "hints", "/grid", 0},
                 {"reveal", "hints", "/reveal", 1, 1000, false},
                 {"charge", "ledger", "/charge", 1, 1000, false}};
  fleet F(S);
  printf("ready %d\n", F.awaitReady());
  load_generator G(F.entries());
  G.run(
      {{"grid", "grid", "alpha", 100}, {"reveal", "reveal", "beta", 100, true}},
      std::chrono::milliseconds(3000));
  auto R = G.results();
  for (int i = 0; i < 2; i++) {
    auto s = summarize(R, i);
    printf("%d offered %lu whole %lu p50 %.2f p99 %.2f\n", i, s.Offered,
           s.Whole, s.MedianMs, s.P99Ms);
    for (auto &[k, v] : s.Reasons)
      printf("  %s %lu\n", k.c_str(), v);
  }
  printf("%s\n", F.status(0).dump(1).c_str());
}
