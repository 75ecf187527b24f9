/// \file
/// When a reader calls the platform, for how long it asks the platform to hold
/// a watch open, and when it gives an answer up.
///
/// A change answers the watches of all readers at once, and a connection may
/// become silent without being closed. If all readers then waited equally long
/// for an answer, all of them would miss changes for that time. Each watch
/// therefore draws its own wait, and little is added to it for the answer.
///
/// After a read without an answer, the next one does not wait for changes: its
/// answer tells at once whether the platform is there.
#pragma once

#include "framework/timetypes.h"

namespace figplank::membership {

struct read_timing_settings {
  /// Bounds of the wait of a watch. The sum of MaxWait, AnswerMargin and the
  /// time to connect is less than the time within which a change must be in
  /// force after connections have been lost.
  framework::milliseconds MinWait{1'000};
  framework::milliseconds MaxWait{2'000};
  /// Wait of the read after a failed one.
  framework::milliseconds WaitAfterFailure{1};
  /// Time beyond the wait after which an answer is given up. It grows while
  /// answers fail, so that a slow platform is still read.
  framework::milliseconds AnswerMargin{500};
  framework::milliseconds MaxAnswerMargin{1'500};
  /// Time between failed reads.
  framework::milliseconds RetryDelay{500};
  /// Time after a change, so that one call fetches changes in quick succession.
  framework::milliseconds BatchDelay{200};
};

enum class read_result : std::uint8_t {
  /// The platform had nothing new.
  Unchanged,
  Changed,
  /// There was no answer in time.
  NoAnswer,
  /// The platform could not be reached, or its answer was of no use.
  Failed,
};

/// State that a reader keeps between its reads.
struct read_timing {
  framework::milliseconds AnswerMargin{0};
  bool LastReadFailed = false;
};

/// Times of one read.
struct read_times {
  /// How long the platform is to hold the watch open.
  framework::milliseconds Wait{0};
  /// How long to wait for an answer beyond that.
  framework::milliseconds AnswerMargin{0};
};

/// Plans the next read. \p Draw is a random number in [0, 1).
read_times planRead(const read_timing_settings &Settings,
                    const read_timing &Timing, double Draw);

/// Records the result of a read and returns the time until the next one. The
/// first read after a failure follows at once, on a new connection.
framework::milliseconds recordRead(const read_timing_settings &Settings,
                                   read_timing &Timing, read_result Result);

} // namespace figplank::membership
