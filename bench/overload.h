/// \file
/// Benchmarks of behaviour under load. Each returns its exit code.
#pragma once

namespace figplank::bench {

int benchGoodput();
int benchLoad();
int benchRanks();
int benchFloor();
int benchShares();
int benchRecovery();
int benchRetries();
int benchCold();
int benchRound();

} // namespace figplank::bench
