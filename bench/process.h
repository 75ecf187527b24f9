/// \file
/// What the kernel tells of processes and of the loopback interface.
#pragma once

#include <cstdint>
#include <sys/types.h>

namespace figplank::bench {

/// Processor time used so far, in seconds.
double processorSeconds(pid_t Process);

/// Resident memory in bytes.
double residentBytes(pid_t Process);

/// Bytes that the loopback interface has carried, headers included.
std::uint64_t loopbackBytes();

} // namespace figplank::bench
