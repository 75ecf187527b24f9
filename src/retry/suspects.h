/// \file
/// Requests that may crash backend servers.
///
/// When a backend server dies, its node reports the fingerprints that were
/// running. Each becomes a suspect, and a suspect runs again only with no
/// other suspect beside it on the same upstream. A fingerprint is condemned
/// when it is the only one that stands in two reports, or ran alone among
/// suspects in the second. Requests that merely ran beside it stand in one
/// report, or share two with the culprit and are told from it by the next run
/// alone. A suspect that completes is cleared.
#pragma once

#include "framework/timetypes.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace figplank::retry {

/// Hash of template or route, organisation, path and body; equal for a request
/// that is sent again under a new id. Zero stands for none.
using fingerprint = std::uint64_t;

fingerprint fingerprintOf(std::string_view Template,
                          std::string_view Organisation, std::string_view Path,
                          std::string_view Body);

/// One death of a backend server, told to the service's other nodes.
struct crash_report {
  /// Unique to this death.
  std::uint64_t CrashId = 0;
  std::vector<fingerprint> Running;
  /// The suspect that ran alone among suspects, or zero.
  fingerprint IsolatedSuspect = 0;

  bool operator==(const crash_report &) const = default;
};

struct suspect {
  std::vector<std::uint64_t> CrashIds;
  bool Quarantined = false;
  framework::monotonic_time Expires;
};

struct suspect_settings {
  std::size_t MaxSuspects = 4096;
  framework::milliseconds Lifetime{600'000};
};

struct suspect_table {
  suspect_settings Settings;
  std::unordered_map<fingerprint, suspect> Suspects;
  std::multimap<framework::monotonic_time, fingerprint> ByExpiry;
  /// The suspect that runs on this upstream now, or zero.
  fingerprint Running = 0;
};

enum class suspect_verdict : std::uint8_t {
  Clear,
  /// A suspect that may run now, alone among suspects.
  RunAlone,
  /// Another suspect runs; try again when it has ended.
  Wait,
  Quarantined,
};

suspect_verdict checkSuspect(suspect_table &Table, fingerprint Fingerprint,
                             framework::monotonic_time Now);

/// Marks the start of a run that was judged RunAlone.
void recordSuspectStart(suspect_table &Table, fingerprint Fingerprint);

/// Marks the end of a run; a suspect that \p Completed is cleared.
void recordRunEnd(suspect_table &Table, fingerprint Fingerprint,
                  bool Completed);

/// Makes the report of a death of this node's backend server.
crash_report makeCrashReport(const suspect_table &Table, std::uint64_t CrashId,
                             const std::vector<fingerprint> &Running);

/// Takes a report, this node's own or another's. Returns whether it was news.
bool applyCrashReport(suspect_table &Table, const crash_report &Report,
                      framework::monotonic_time Now);

} // namespace figplank::retry
