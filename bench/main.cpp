#include "bench/config.h"
#include "bench/once.h"
#include "bench/overload.h"
#include "bench/path.h"
#include "bench/slopes.h"

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace {

/// Seed of benchmark `once` without `--seed`.
constexpr std::uint64_t DefaultSeed = 1;
std::uint64_t Seed = DefaultSeed;

int benchOnceWithSeed() { return figplank::bench::benchOnce(Seed); }

struct benchmark {
  const char *Name;
  const char *Description;
  int (*Run)();
};

constexpr benchmark Benchmarks[] = {
    {"goodput", "load of 1 to 10 times the capacity",
     figplank::bench::benchGoodput},
    {"path", "latency that two nodes add to a call",
     figplank::bench::benchPath},
    {"once", "at-most-once execution under random faults; --seed N",
     benchOnceWithSeed},
    {"config", "time until changes take effect on 60 nodes, with faults",
     figplank::bench::benchConfig},
    {"slopes", "resource use of a node by size, for docs/CAPACITY.md",
     figplank::bench::benchSlopes},
    {"load", "load equal to the capacity", figplank::bench::benchLoad},
    {"ranks", "overload by requests of the least urgent rank",
     figplank::bench::benchRanks},
    {"floor", "overload by requests of the most urgent rank",
     figplank::bench::benchFloor},
    {"shares", "one organisation sends 20 times the load of each other",
     figplank::bench::benchShares},
    {"recovery", "the last service slows down while the load doubles",
     figplank::bench::benchRecovery},
    {"retries", "the last service of a chain fails all requests",
     figplank::bench::benchRetries},
    {"round", "delivery rounds at three times the capacity",
     figplank::bench::benchRound},
    {"cold", "a backend server restarts cold under load",
     figplank::bench::benchCold},
};

} // namespace

int main(int ArgumentCount, char **Arguments) {
  if (ArgumentCount == 4 && std::strcmp(Arguments[2], "--seed") == 0) {
    Seed = std::strtoull(Arguments[3], nullptr, 10);
  }
  for (const benchmark &Benchmark : Benchmarks) {
    if (ArgumentCount >= 2 && std::strcmp(Arguments[1], Benchmark.Name) == 0) {
      return Benchmark.Run();
    }
  }
  for (const benchmark &Benchmark : Benchmarks) {
    std::printf("%-10s %s\n", Benchmark.Name, Benchmark.Description);
  }
  return ArgumentCount >= 2 ? 2 : 0;
}
