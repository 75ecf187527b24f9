/// \file
/// Resource use of processes and of the loopback interface, from `/proc`.
#pragma once

#include <cstdint>
#include <sys/types.h>

namespace figplank::bench {

/// User and system CPU time of a process so far, in seconds.
double cpuSeconds(pid_t Process);

/// Resident memory of a process in bytes.
double residentBytes(pid_t Process);

/// Bytes that the loopback interface has received so far, headers included.
std::uint64_t loopbackBytes();

} // namespace figplank::bench
