/// \file
/// Returns memory that is free again to the system.
#pragma once

#include <cstddef>

namespace figplank::framework {

/// Makes the allocator return long blocks to the system as soon as they are
/// free. To be called once, before threads start.
void returnLongBlocks();

/// Returns the free memory between blocks that are in use, after a peak.
class heap_trimmer {
public:
  /// \p UsedBytes is what the process accounts for now. Returns whether memory
  /// was given back.
  bool trim(std::size_t UsedBytes);

private:
  /// The highest use since memory was given back last.
  std::size_t PeakBytes = 0;
};

} // namespace figplank::framework
