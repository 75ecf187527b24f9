/// \file
/// The memory that a process under test has used.
#pragma once

#include <cstddef>
#include <sys/types.h>

namespace figplank::standins {

/// Smallest memory limit of the machines that nodes run on, in bytes.
inline constexpr std::size_t MachineMemory = std::size_t{160} << 20U;

/// Maximum resident memory of the process so far, in bytes; 0 if it does not
/// run.
std::size_t peakMemory(pid_t Process);

/// Whether the process runs and has never used more than MachineMemory.
/// AddressSanitizer keeps freed memory in quarantine, so a build with it checks
/// only that the process runs.
bool staysWithinMemory(pid_t Process);

} // namespace figplank::standins
