#include "retry/suspects.h"

#include "framework/hashing.h"

#include <algorithm>

namespace figplank::retry {
namespace {

using framework::monotonic_time;

void removeExpired(suspect_table &Table, monotonic_time Now) {
  while (!Table.ByExpiry.empty() && Table.ByExpiry.begin()->first <= Now) {
    auto Found = Table.Suspects.find(Table.ByExpiry.begin()->second);
    bool IsCurrent = Found != Table.Suspects.end() &&
                     Found->second.Expires == Table.ByExpiry.begin()->first;
    if (IsCurrent) {
      Table.Suspects.erase(Found);
    }
    Table.ByExpiry.erase(Table.ByExpiry.begin());
  }
}

void evictOldest(suspect_table &Table) {
  while (!Table.ByExpiry.empty()) {
    fingerprint Oldest = Table.ByExpiry.begin()->second;
    Table.ByExpiry.erase(Table.ByExpiry.begin());
    if (Table.Suspects.erase(Oldest) > 0) {
      return;
    }
  }
}

/// Finds or adds the suspect and renews its lifetime. A full table evicts the
/// oldest suspect.
suspect &findOrAddSuspect(suspect_table &Table, fingerprint Fingerprint,
                          monotonic_time Now) {
  removeExpired(Table, Now);
  bool IsNew = Table.Suspects.count(Fingerprint) == 0;
  if (IsNew && Table.Suspects.size() >= Table.Settings.MaxSuspects) {
    evictOldest(Table);
  }
  suspect &Suspect = Table.Suspects[Fingerprint];
  Suspect.Expires = Now + Table.Settings.Lifetime;
  Table.ByExpiry.emplace(Suspect.Expires, Fingerprint);
  return Suspect;
}

/// Adds the crash to the suspect. Returns whether it was new for the suspect.
bool addCrash(suspect &Suspect, std::uint64_t CrashId) {
  auto &Ids = Suspect.CrashIds;
  if (std::find(Ids.begin(), Ids.end(), CrashId) != Ids.end()) {
    return false;
  }
  Ids.push_back(CrashId);
  return true;
}

} // namespace

fingerprint fingerprintOf(std::string_view Template,
                          std::string_view Organisation, std::string_view Path,
                          std::string_view Body) {
  std::uint64_t Seed = framework::hashText(Template);
  Seed = framework::hashText(Organisation, Seed);
  Seed = framework::hashText(Path, Seed);
  fingerprint Fingerprint = framework::hashText(Body, Seed);
  return Fingerprint == 0 ? 1 : Fingerprint;
}

suspect_verdict checkSuspect(suspect_table &Table, fingerprint Fingerprint,
                             monotonic_time Now) {
  removeExpired(Table, Now);
  auto Found = Table.Suspects.find(Fingerprint);
  if (Found == Table.Suspects.end()) {
    return suspect_verdict::Clear;
  }
  bool IsFree = Table.RunningSuspect == 0;
  if (Found->second.Quarantined) {
    bool MayProbe = IsFree && Now >= Found->second.ProbeAt &&
                    Found->second.Signs < Table.Settings.MaxSigns;
    return MayProbe ? suspect_verdict::RunAlone : suspect_verdict::Quarantined;
  }
  return IsFree ? suspect_verdict::RunAlone : suspect_verdict::Wait;
}

void recordSuspectStart(suspect_table &Table, fingerprint Fingerprint,
                        monotonic_time Now) {
  Table.RunningSuspect = Fingerprint;
  auto Found = Table.Suspects.find(Fingerprint);
  if (Found != Table.Suspects.end()) {
    Found->second.ProbeAt = Now + Table.Settings.ProbeDelay;
  }
}

void recordSuspectEnd(suspect_table &Table) { Table.RunningSuspect = 0; }

void recordCompletion(suspect_table &Table, fingerprint Fingerprint) {
  auto Found = Table.Suspects.find(Fingerprint);
  bool IsCleared =
      Found != Table.Suspects.end() &&
      (!Found->second.Quarantined || Table.RunningSuspect == Fingerprint);
  if (IsCleared) {
    Table.Suspects.erase(Found);
  }
}

crash_report
makeCrashReport(const suspect_table &Table, std::uint64_t CrashId,
                const std::vector<fingerprint> &RunningFingerprints) {
  crash_report Report{CrashId, RunningFingerprints, 0};
  std::sort(Report.RunningFingerprints.begin(),
            Report.RunningFingerprints.end());
  Report.RunningFingerprints.erase(
      std::unique(Report.RunningFingerprints.begin(),
                  Report.RunningFingerprints.end()),
      Report.RunningFingerprints.end());
  if (std::binary_search(Report.RunningFingerprints.begin(),
                         Report.RunningFingerprints.end(),
                         Table.RunningSuspect)) {
    Report.IsolatedSuspect = Table.RunningSuspect;
  }
  return Report;
}

bool applyCrashReport(suspect_table &Table, const crash_report &Report,
                      monotonic_time Now) {
  bool HasNewCrash = false;
  for (fingerprint Fingerprint : Report.RunningFingerprints) {
    suspect &Suspect = findOrAddSuspect(Table, Fingerprint, Now);
    if (!addCrash(Suspect, Report.CrashId)) {
      continue;
    }
    HasNewCrash = true;
    bool IsIsolated = Fingerprint == Report.IsolatedSuspect;
    bool IsCoincidence =
        Suspect.Signs > 0 && !IsIsolated &&
        Now - Suspect.LastSign <= Table.Settings.CoincidenceWindow;
    Suspect.Signs += IsCoincidence ? 0 : 1;
    Suspect.LastSign = Now;
    if (IsIsolated && Suspect.Signs >= 2) {
      Suspect.Quarantined = true;
      Suspect.ProbeAt = Now + Table.Settings.ProbeDelay;
    }
  }
  return HasNewCrash;
}

} // namespace figplank::retry
