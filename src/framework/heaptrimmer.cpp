#include "framework/heaptrimmer.h"

#include <algorithm>
#include <malloc.h>

namespace figplank::framework {
namespace {

/// Size from which the allocator asks the system for a block of its own.
constexpr int LongBlockBytes = 128 << 10;
/// Peaks below this aren't worth the time of a search.
constexpr std::size_t MinPeakBytes = std::size_t{8} << 20U;
/// Part of a peak to which the use must have fallen.
constexpr std::size_t FallDivisor = 4;

} // namespace

void returnLongBlocks() {
  // Once set, the threshold no longer grows with the blocks that are freed.
  mallopt(M_MMAP_THRESHOLD, LongBlockBytes);
}

bool heap_trimmer::trim(std::size_t UsedBytes) {
  PeakBytes = std::max(PeakBytes, UsedBytes);
  if (PeakBytes < MinPeakBytes || UsedBytes > PeakBytes / FallDivisor) {
    return false;
  }
  PeakBytes = UsedBytes;
  malloc_trim(0);
  return true;
}

} // namespace figplank::framework
