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

/// Seed of `once` unless another is given.
constexpr std::uint64_t DefaultSeed = 1;
std::uint64_t Seed = DefaultSeed;

int benchOnceSeeded() { return figplank::bench::benchOnce(Seed); }

struct benchmark {
  const char *Name;
  const char *Condition;
  int (*Run)();
};

constexpr benchmark Benchmarks[] = {
    {"goodput", "offered 1 to 10 times the capacity",
     figplank::bench::benchGoodput},
    {"path", "time that two nodes add to a call", figplank::bench::benchPath},
    {"once", "at most once under random faults; --seed N", benchOnceSeeded},
    {"config", "changes in force on 60 nodes under failures",
     figplank::bench::benchConfig},
    {"slopes", "growth of a node's cost, for docs/CAPACITY.md",
     figplank::bench::benchSlopes},
    {"load", "the capacity offered once", figplank::bench::benchLoad},
    {"ranks", "flood of the least urgent work", figplank::bench::benchRanks},
    {"floor", "flood of the most urgent work", figplank::bench::benchFloor},
    {"shares", "one organisation offers 20 times the others",
     figplank::bench::benchShares},
    {"recovery", "a deep service slows while demand doubles",
     figplank::bench::benchRecovery},
    {"retries", "the last service of a chain fails",
     figplank::bench::benchRetries},
    {"round", "delivery rounds of three times the capacity",
     figplank::bench::benchRound},
    {"cold", "a backend server starts cold under load",
     figplank::bench::benchCold},
};

} // namespace

int main(int Count, char **Arguments) {
  if (Count == 4 && std::strcmp(Arguments[2], "--seed") == 0) {
    Seed = std::strtoull(Arguments[3], nullptr, 10);
  }
  for (const benchmark &Benchmark : Benchmarks) {
    if (Count >= 2 && std::strcmp(Arguments[1], Benchmark.Name) == 0) {
      return Benchmark.Run();
    }
  }
  for (const benchmark &Benchmark : Benchmarks) {
    std::printf("%-10s %s\n", Benchmark.Name, Benchmark.Condition);
  }
  return Count >= 2 ? 2 : 0;
}
