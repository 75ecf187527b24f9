#include "bench/overload.h"

#include <cstdio>
#include <cstring>

namespace {

struct benchmark {
  const char *Name;
  const char *Condition;
  int (*Run)();
};

constexpr benchmark Benchmarks[] = {
    {"goodput", "offered 1 to 10 times the capacity",
     figplank::bench::benchGoodput},
    {"load", "the capacity offered once", figplank::bench::benchLoad},
    {"ranks", "flood of the least urgent work", figplank::bench::benchRanks},
    {"floor", "flood of the most urgent work", figplank::bench::benchFloor},
    {"shares", "one organisation offers 20 times the others",
     figplank::bench::benchShares},
    {"recovery", "a deep service slows while demand doubles",
     figplank::bench::benchRecovery},
    {"retries", "the last service of a chain fails",
     figplank::bench::benchRetries},
    {"cold", "a backend server starts cold under load",
     figplank::bench::benchCold},
};

} // namespace

int main(int Count, char **Arguments) {
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
