/// \file
/// At-most-once execution of non-idempotent requests. Each request id has one
/// home: the only upstream that may run it.
///
/// The home is chosen by rendezvous hashing (Thaler and Ravishankar, 1998) of
/// the id over the published roster. A home keeps a record of each id until the
/// id is too old to be accepted by any node. After a restart or a roster change
/// it refuses every id whose record may have been lost. It recognizes such ids
/// by their time of issue, which requires synchronized clocks (Liskov, Shrira
/// and Wroclawski, 1991).
///
/// A home reports the outcome "not run" only after it has fenced the id, so
/// that no later copy of the id can run.
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

/// Limits of a home_table.
struct home_settings {
  /// Largest difference between the clocks of any two machines, callers
  /// included.
  framework::milliseconds ClockBound{2'000};
  /// Age beyond which every node refuses an id and deletes its record.
  framework::milliseconds Retention{120'000};
  /// Maximum number of records of ids that ran or are running.
  std::size_t MaxRuns = 30'000;
  /// Maximum number of records of ids that were fenced without a run. Higher
  /// than MaxRuns because these records hold no answer.
  std::size_t MaxFences = 100'000;
  /// Total size of the stored answers, in bytes, at which new ids are refused.
  std::size_t MaxAnswerBytes = std::size_t{16} << 20U;
};

/// The backend server's answer, kept for later copies of the request.
struct stored_answer {
  std::uint16_t Status = 0;
  std::string ContentType;
  std::string Body;
};

enum class id_state : std::uint8_t {
  /// Admitted; the request may have reached the backend server.
  Running,
  /// The answer is stored.
  Completed,
  /// Never ran here, and every later copy is refused.
  Fenced,
  /// The run ended without the home learning its outcome.
  OutcomeLost,
};

/// What the home knows of one id.
struct id_record {
  id_state State = id_state::Running;
  /// Why the id was fenced or its outcome was lost.
  framework::refusal_reason Reason = framework::refusal_reason::None;
  /// Address of the home that the id was handed over to; set only if Reason is
  /// HomeMoved.
  std::string HandedOverTo;
  stored_answer Answer;
};

/// A roster that is no longer published, neither as the current one nor as a
/// previous one. Its members may have run ids, but can't be asked about them.
struct former_roster {
  std::vector<configuration::roster_member> Members;
  /// The members may have run ids issued before this time.
  framework::wall_time IssuedBefore;
};

/// The records of the ids whose home this node is or was.
struct home_table {
  home_settings Settings;
  /// Ids issued at or before this time may have run without a record in this
  /// table: in an earlier process at this address, or at a replacement of this
  /// node during a pause.
  framework::wall_time AcceptIssuedAfter;
  std::unordered_map<request_id, id_record, request_id_hash> Records;
  /// Index of Records by time of issue, used to delete expired records.
  std::multimap<framework::wall_time, request_id> IdsByIssueTime;
  /// The latest wall time seen. Age checks use it in place of the current time,
  /// so that expired ids stay refused when the clock is set back.
  framework::wall_time LatestWallTime;
  /// Number of records that are not fenced, and of those that are.
  std::size_t Runs = 0;
  std::size_t Fences = 0;
  /// Total size of the stored answers.
  std::size_t AnswerBytes = 0;
  /// The current roster.
  std::vector<configuration::roster_member> Roster;
  /// Replaced rosters, the latest first. Their homes must give up an id before
  /// this node runs it.
  std::vector<std::vector<configuration::roster_member>> PreviousRosters;
  /// Replaced rosters that are no longer published.
  std::vector<former_roster> FormerRosters;
};

/// Makes an empty table for a node that starts at \p Now.
home_table makeHomeTable(const home_settings &Settings,
                         framework::wall_time Now);

/// The member of \p Roster with the highest rendezvous weight for \p Id, or
/// null for an empty roster.
const configuration::roster_member *
homeOf(const request_id &Id,
       const std::vector<configuration::roster_member> &Roster);

/// Applies the roster and the previous rosters that \p Service publishes.
void updateRoster(home_table &Table,
                  const configuration::service_settings &Service,
                  framework::wall_time Now);

/// Refuses from now on every id without a record that was issued up to \p Now
/// plus the clock bound. Called after a pause of this process, because a
/// replacement may have run ids in the meantime. Records are kept.
void refuseIdsIssuedUntil(home_table &Table, framework::wall_time Now);

/// How to proceed with a request.
enum class home_verdict : std::uint8_t {
  /// Run the request; the table has recorded it as running.
  Run,
  /// A copy is running already: wait for its answer.
  AwaitRun,
  /// Reply with the recorded answer.
  AnswerFromRecord,
  /// Have the homes in PriorHomes fence the id, in their order, then decide
  /// again.
  AskPriorHomes,
  /// Refuse the request with the decision's Outcome and Reason.
  Refuse,
};

struct home_decision {
  home_verdict Verdict = home_verdict::Refuse;
  framework::outcome Outcome = framework::outcome::Unknown;
  framework::refusal_reason Reason = framework::refusal_reason::None;
  /// Addresses of the id's homes under the previous rosters, the oldest first.
  std::vector<std::string> PriorHomes;
};

/// Decides whether the node at address \p Self runs a copy of \p Id that it has
/// received. Nodes are compared by address because a replacement may have the
/// same name. \p PriorFenced says that every home under the previous rosters
/// has fenced the id.
home_decision decideRun(home_table &Table, const request_id &Id,
                        std::string_view Self, bool PriorFenced,
                        framework::wall_time Now);

/// Records that a run completed, and stores its answer.
void completeRun(home_table &Table, const request_id &Id, stored_answer Answer);

/// Records that a run ended without a known outcome.
void recordLostOutcome(home_table &Table, const request_id &Id,
                       framework::refusal_reason Reason);

/// Fences a running id whose request is known not to have reached the backend
/// server.
void fenceRun(home_table &Table, const request_id &Id,
              framework::refusal_reason Reason);

/// A previous home's reply when a newer home asks it to give up an id.
enum class handover_verdict : std::uint8_t {
  /// The id never ran here and is fenced: the asking home may run it.
  Granted,
  /// The id is running here; ask again when the run has ended.
  Running,
  /// The run has ended or was fenced; the record holds the outcome.
  Recorded,
  /// The id may have run without a record here, or may run at another home.
  Indeterminate,
};

/// Hands \p Id over to the home at address \p Asker, and to no other home.
/// \p GrantedBy lists the homes that have already handed it over to \p Asker.
/// The node at \p Self grants the id only if the list contains every earlier
/// home that it would have to ask before running the id itself.
handover_verdict handOver(home_table &Table, const request_id &Id,
                          std::string_view Self, std::string_view Asker,
                          const std::vector<std::string> &GrantedBy,
                          framework::wall_time Now);

/// Copies \p Record, received from a previous home, into the table unless the
/// table already has one for \p Id.
void adoptRecord(home_table &Table, const request_id &Id, id_record Record);

/// The record of \p Id, or null.
const id_record *findRecord(const home_table &Table, const request_id &Id);

/// Deletes the records of ids older than the retention, in the order of issue
/// up to the first one that is still running.
void deleteExpiredRecords(home_table &Table, framework::wall_time Now);

} // namespace figplank::execution
