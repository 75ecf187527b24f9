/// \file
/// The home of non-idempotent requests: the one upstream that may run an id.
///
/// The home of an id is the rendezvous hash (Thaler and Ravishankar, 1998) of
/// the id over the published roster. It keeps what it knows of each id until
/// the id is too old to be accepted anywhere. An id whose history may have
/// been lost, by a restart or a change of roster, is never run: at most once
/// by synchronized clocks (Liskov, Shrira and Wroclawski, 1991).
///
/// "Not run" is said only together with a fence that keeps every later copy
/// of the id from running.
#pragma once

#include "configuration/configurationtypes.h"
#include "execution/requestid.h"
#include "framework/outcome.h"
#include "framework/timetypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace figplank::execution {

/// Bounds of the home's table.
struct home_settings {
  /// Largest difference between the clocks of any two machines, callers
  /// included.
  framework::milliseconds ClockBound{2'000};
  /// Age at which an id is refused everywhere and forgotten.
  framework::milliseconds Retention{120'000};
  /// Ids that ran or are running.
  std::size_t MaxRuns = 30'000;
  /// Ids that were fenced without a run; cheaper, so more of them.
  std::size_t MaxFences = 100'000;
  /// Bytes of stored answers at which no further id is run.
  std::size_t MaxAnswerBytes = std::size_t{16} << 20U;
};

/// What the backend server answered.
struct stored_answer {
  std::uint16_t Status = 0;
  std::string ContentType;
  std::string Body;
};

enum class id_state : std::uint8_t {
  /// Admitted; the backend server may have it.
  Running,
  /// The answer is stored.
  Completed,
  /// Will never run.
  Fenced,
  /// Ran to an end that the home did not see.
  OutcomeLost,
};

struct id_record {
  id_state State = id_state::Running;
  /// Why the id was fenced or lost.
  framework::refusal_reason Reason = framework::refusal_reason::None;
  /// Address of the home that the id was handed to, where Reason is HomeMoved.
  std::string HandedTo;
  stored_answer Answer;
};

/// An earlier roster whose homes may have run ids up to some time.
struct former_roster {
  std::vector<configuration::roster_member> Members;
  /// Ids issued before this wall time may have been run by the members.
  framework::wall_time Until;
};

/// What this node knows of the ids whose home it is or was.
struct home_table {
  home_settings Settings;
  /// Ids issued before this time may have run in an earlier incarnation.
  framework::wall_time AcceptFrom;
  std::unordered_map<request_id, id_record, request_id_hash> Records;
  /// Ids by time of issue, to forget the expired ones.
  std::multimap<framework::wall_time, request_id> ByIssue;
  /// The latest wall time seen; a clock set back must not revive expired ids.
  framework::wall_time LatestNow;
  std::size_t Runs = 0;
  std::size_t Fences = 0;
  std::size_t AnswerBytes = 0;
  /// The roster in force, those it replaced whose homes are to be asked, and
  /// those that may no longer be asked.
  std::vector<configuration::roster_member> Roster;
  std::vector<std::vector<configuration::roster_member>> PreviousRosters;
  std::vector<former_roster> Former;
};

/// A table of a node that starts at \p Now and remembers nothing.
home_table makeHomeTable(const home_settings &Settings,
                         framework::wall_time Now);

/// The member of \p Roster with the highest rendezvous weight for \p Id, or
/// null for an empty roster.
const configuration::roster_member *
homeOf(const request_id &Id,
       const std::vector<configuration::roster_member> &Roster);

/// Takes a roster into force.
void updateRoster(home_table &Table,
                  const configuration::service_settings &Service,
                  framework::wall_time Now);

/// Treats all ids issued up to now as possibly run elsewhere: called after a
/// pause, in which a replacement may have taken over.
void resetHome(home_table &Table, framework::wall_time Now);

enum class home_verdict : std::uint8_t {
  /// Run it; the table holds it as running.
  Run,
  /// Wait for the run that the table holds.
  AwaitRun,
  /// Answer from the record.
  AnswerFromRecord,
  /// First have the id fenced at PriorHomes, one after the other, then decide
  /// again.
  AskPriorHomes,
  /// Refuse with the outcome and reason given.
  Refuse,
};

struct home_decision {
  home_verdict Verdict = home_verdict::Refuse;
  framework::outcome Outcome = framework::outcome::Unknown;
  framework::refusal_reason Reason = framework::refusal_reason::None;
  /// Addresses of the homes under the previous rosters, the oldest first.
  std::vector<std::string> PriorHomes;
};

/// Decides about a copy of \p Id that has arrived at the node of address
/// \p Self; the address tells a process from its replacement. With
/// \p PriorFenced the previous homes have confirmed that they will never run
/// it.
home_decision decideRun(home_table &Table, const request_id &Id,
                        std::string_view Self, bool PriorFenced,
                        framework::wall_time Now);

/// Records the answer of a run.
void completeRun(home_table &Table, const request_id &Id, stored_answer Answer);

/// Records that a run ended in a way the home did not see.
void recordLostOutcome(home_table &Table, const request_id &Id,
                       framework::refusal_reason Reason);

/// Records that an admitted id provably never reached the backend server.
void fenceRun(home_table &Table, const request_id &Id,
              framework::refusal_reason Reason);

/// What a previous home says when the new one asks it to give up an id.
enum class handover_verdict : std::uint8_t {
  /// It never ran here and never will: the asker may run it.
  Granted,
  /// It is running; ask again when it has ended.
  Running,
  /// The record tells the outcome.
  Recorded,
  /// It may have run in a way this node has no record of.
  Indeterminate,
};

/// Gives \p Id up to the home at address \p Asker, and to no other. \p Asked
/// holds the homes that have given it up to the asker already; this one can
/// vouch only if those that it would have asked itself are among them.
handover_verdict handOver(home_table &Table, const request_id &Id,
                          std::string_view Self, std::string_view Asker,
                          const std::vector<std::string> &Asked,
                          framework::wall_time Now);

/// Takes over the record that the previous home handed over.
void adoptRecord(home_table &Table, const request_id &Id, id_record Record);

/// The record of \p Id, or null.
const id_record *findRecord(const home_table &Table, const request_id &Id);

/// Forgets ids past the retention.
void forgetExpired(home_table &Table, framework::wall_time Now);

} // namespace figplank::execution
