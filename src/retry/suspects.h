/// \file
/// Requests suspected of crashing backend servers.
///
/// When a backend server crashes, its node reports the fingerprints of the
/// requests that were running. Each becomes a suspect. A suspect runs again
/// only in isolation, that is, while no other suspect runs on the same
/// upstream.
///
/// A suspect is quarantined by a crash at which it ran in isolation, if it had
/// been running at an earlier one, too. Crashes at the same moment count once:
/// servers that fail together, for example with their rack, all ran what many
/// callers ask for. A quarantined suspect is probed after a while with one
/// isolated run, until it has crashed servers three times. A suspect that
/// completes in isolation is cleared.
#pragma once

#include "framework/timetypes.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace figplank::retry {

/// Hash of a request's template or route, organisation, path and body, so it is
/// the same for a request that is repeated under a new id. Zero stands for
/// none.
using fingerprint = std::uint64_t;

fingerprint fingerprintOf(std::string_view Template,
                          std::string_view Organisation, std::string_view Path,
                          std::string_view Body);

/// One crash of a backend server, reported to the service's other nodes.
struct crash_report {
  /// Unique to this crash.
  std::uint64_t CrashId = 0;
  /// Requests that were running at the crash.
  std::vector<fingerprint> RunningFingerprints;
  /// The suspect that ran in isolation, or zero.
  fingerprint IsolatedSuspect = 0;

  bool operator==(const crash_report &) const = default;
};

struct suspect {
  /// Crashes during which the request was running.
  std::vector<std::uint64_t> CrashIds;
  /// Number of those crashes; several within CoincidenceWindow count once.
  std::size_t Signs = 0;
  framework::monotonic_time LastSign;
  bool Quarantined = false;
  /// When a quarantined suspect may run in isolation again.
  framework::monotonic_time ProbeAt;
  framework::monotonic_time Expires;
};

struct suspect_settings {
  std::size_t MaxSuspects = 4096;
  framework::milliseconds Lifetime{600'000};
  /// Crashes within this time are one sign, unless the suspect ran in
  /// isolation.
  framework::milliseconds CoincidenceWindow{1'000};
  /// Time after which a quarantined suspect is probed.
  framework::milliseconds ProbeDelay{30'000};
  /// Signs from which on it is not probed any more.
  std::size_t MaxSigns = 3;
};

struct suspect_table {
  suspect_settings Settings;
  std::unordered_map<fingerprint, suspect> Suspects;
  /// May hold outdated entries, for suspects since renewed or removed.
  std::multimap<framework::monotonic_time, fingerprint> ByExpiry;
  /// The suspect that is running on this upstream, or zero.
  fingerprint RunningSuspect = 0;
};

enum class suspect_verdict : std::uint8_t {
  /// Not a suspect.
  Clear,
  /// A suspect that may run now, since no other suspect is running.
  RunAlone,
  /// A suspect that must wait until the running suspect has ended.
  Wait,
  Quarantined,
};

suspect_verdict checkSuspect(suspect_table &Table, fingerprint Fingerprint,
                             framework::monotonic_time Now);

/// Records the start of a run for which checkSuspect returned RunAlone.
void recordSuspectStart(suspect_table &Table, fingerprint Fingerprint,
                        framework::monotonic_time Now);

/// Records the end of that run, however it ended.
void recordSuspectEnd(suspect_table &Table);

/// Records that a run has completed. Clears a suspect, unless it is quarantined
/// and this was not its isolated run.
void recordCompletion(suspect_table &Table, fingerprint Fingerprint);

/// Makes the report of a crash of this node's backend server. \p
/// RunningFingerprints lists the requests that were running.
crash_report
makeCrashReport(const suspect_table &Table, std::uint64_t CrashId,
                const std::vector<fingerprint> &RunningFingerprints);

/// Applies a report of this node or another one. Returns whether the crash was
/// new for any of the report's fingerprints.
bool applyCrashReport(suspect_table &Table, const crash_report &Report,
                      framework::monotonic_time Now);

} // namespace figplank::retry
