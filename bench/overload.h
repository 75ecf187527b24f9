/// \file
/// Benchmarks of the behaviour under load. Each function returns the exit code
/// of the program.
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
