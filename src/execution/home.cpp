#include "execution/home.h"

#include "framework/hashing.h"

#include <algorithm>

namespace figplank::execution {
namespace {

using configuration::roster_member;
using framework::outcome;
using framework::refusal_reason;
using framework::wall_time;

home_decision refuse(outcome Outcome, refusal_reason Reason) {
  return {home_verdict::Refuse, Outcome, Reason, {}};
}

bool isSelf(const roster_member *Member, std::string_view Self) {
  return Member != nullptr && Member->Address == Self;
}

/// Why a missing record does not prove that the id never ran, or None if it
/// does.
refusal_reason findHistoryGap(const home_table &Table, const request_id &Id,
                              std::string_view Self) {
  wall_time Issued = issueTime(Id);
  if (Issued > Table.LatestWallTime + Table.Settings.ClockBound) {
    return refusal_reason::IdFromFuture;
  }
  if (Issued + Table.Settings.Retention < Table.LatestWallTime) {
    return refusal_reason::IdExpired;
  }
  if (Issued <= Table.AcceptIssuedAfter) {
    return refusal_reason::IdBeforeStart;
  }
  for (const former_roster &Former : Table.FormerRosters) {
    if (Issued < Former.IssuedBefore &&
        !isSelf(homeOf(Id, Former.Members), Self)) {
      return refusal_reason::HomeMoved;
    }
  }
  return refusal_reason::None;
}

void insertRecord(home_table &Table, const request_id &Id, id_record Record) {
  bool Fence = Record.State == id_state::Fenced;
  Table.AnswerBytes += Record.Answer.Body.size();
  Table.Records[Id] = std::move(Record);
  Table.IdsByIssueTime.emplace(issueTime(Id), Id);
  ++(Fence ? Table.Fences : Table.Runs);
}

void eraseRecord(home_table &Table, const request_id &Id) {
  auto Found = Table.Records.find(Id);
  if (Found == Table.Records.end()) {
    return;
  }
  Table.AnswerBytes -= Found->second.Answer.Body.size();
  --(Found->second.State == id_state::Fenced ? Table.Fences : Table.Runs);
  Table.Records.erase(Found);
}

/// Refuses an id that has no record. The outcome is "not run" only if the table
/// has room for a fence.
home_decision fenceAndRefuse(home_table &Table, const request_id &Id,
                             refusal_reason Reason) {
  if (Table.Fences >= Table.Settings.MaxFences) {
    return refuse(outcome::Unknown, Reason);
  }
  insertRecord(Table, Id, {id_state::Fenced, Reason, {}, {}});
  return refuse(outcome::NotRun, Reason);
}

home_decision decideFromRecord(const id_record &Record) {
  switch (Record.State) {
  case id_state::Running:
    return {home_verdict::AwaitRun, outcome::Unknown, refusal_reason::None, {}};
  case id_state::Completed:
    return {home_verdict::AnswerFromRecord,
            outcome::Completed,
            refusal_reason::None,
            {}};
  case id_state::Fenced:
    // NOTE An id that was handed over may have run at its new home.
    return refuse(Record.HandedOverTo.empty() ? outcome::NotRun
                                              : outcome::Unknown,
                  Record.Reason);
  case id_state::OutcomeLost:
    break;
  }
  return refuse(outcome::Unknown, Record.Reason);
}

/// Whether two rosters give every id the same home. Zones do not matter,
/// because the rendezvous hash uses names only.
bool haveSameHomes(const std::vector<roster_member> &Left,
                   const std::vector<roster_member> &Right) {
  auto Same = [](const roster_member &First, const roster_member &Second) {
    return First.Name == Second.Name && First.Address == Second.Address;
  };
  return std::is_permutation(Left.begin(), Left.end(), Right.begin(),
                             Right.end(), Same);
}

bool isFull(const home_table &Table) {
  return Table.Runs >= Table.Settings.MaxRuns ||
         Table.AnswerBytes >= Table.Settings.MaxAnswerBytes;
}

/// Adds \p Members to the former rosters unless \p Service still publishes
/// them, as the current roster or as a previous one.
void keepFormerRoster(home_table &Table,
                      const std::vector<roster_member> &Members,
                      const configuration::service_settings &Service,
                      wall_time Now) {
  bool StillPublished =
      Members.empty() || haveSameHomes(Members, Service.Roster);
  for (const std::vector<roster_member> &Previous : Service.PreviousRosters) {
    StillPublished |= haveSameHomes(Members, Previous);
  }
  if (!StillPublished) {
    Table.FormerRosters.push_back({Members, Now + Table.Settings.ClockBound});
  }
}

/// The homes of \p Id under the previous rosters other than \p Self, the oldest
/// first. handOver needs that order: a home grants an id only after the earlier
/// homes have.
std::vector<std::string> listPriorHomes(const home_table &Table,
                                        const request_id &Id,
                                        std::string_view Self) {
  std::vector<std::string> Homes;
  for (auto Roster = Table.PreviousRosters.rbegin();
       Roster != Table.PreviousRosters.rend(); ++Roster) {
    const roster_member *Home = homeOf(Id, *Roster);
    bool IsOtherNode = Home != nullptr && !isSelf(Home, Self);
    if (IsOtherNode &&
        std::find(Homes.begin(), Homes.end(), Home->Address) == Homes.end()) {
      Homes.push_back(Home->Address);
    }
  }
  return Homes;
}

} // namespace

home_table makeHomeTable(const home_settings &Settings, wall_time Now) {
  home_table Table;
  Table.Settings = Settings;
  Table.AcceptIssuedAfter = Now + Settings.ClockBound;
  Table.LatestWallTime = Now;
  return Table;
}

const roster_member *homeOf(const request_id &Id,
                            const std::vector<roster_member> &Roster) {
  std::uint64_t Seed = framework::hashText(requestIdBytes(Id));
  const roster_member *Best = nullptr;
  std::uint64_t BestWeight = 0;
  for (const roster_member &Member : Roster) {
    std::uint64_t Weight = framework::hashText(Member.Name, Seed);
    if (Best == nullptr || Weight > BestWeight) {
      Best = &Member;
      BestWeight = Weight;
    }
  }
  return Best;
}

void updateRoster(home_table &Table,
                  const configuration::service_settings &Service,
                  wall_time Now) {
  Table.LatestWallTime = std::max(Table.LatestWallTime, Now);
  keepFormerRoster(Table, Table.Roster, Service, Now);
  for (const std::vector<roster_member> &Previous : Table.PreviousRosters) {
    keepFormerRoster(Table, Previous, Service, Now);
  }
  Table.Roster = Service.Roster;
  Table.PreviousRosters = Service.PreviousRosters;
}

void refuseIdsIssuedUntil(home_table &Table, wall_time Now) {
  Table.LatestWallTime = std::max(Table.LatestWallTime, Now);
  Table.AcceptIssuedAfter = Table.LatestWallTime + Table.Settings.ClockBound;
}

home_decision decideRun(home_table &Table, const request_id &Id,
                        std::string_view Self, bool PriorFenced,
                        wall_time Now) {
  deleteExpiredRecords(Table, Now);
  if (const id_record *Record = findRecord(Table, Id)) {
    return decideFromRecord(*Record);
  }
  refusal_reason Gap = findHistoryGap(Table, Id, Self);
  if (Gap != refusal_reason::None) {
    return refuse(outcome::Unknown, Gap);
  }
  if (!isSelf(homeOf(Id, Table.Roster), Self)) {
    return refuse(outcome::Unknown, refusal_reason::HomeMoved);
  }
  std::vector<std::string> PriorHomes = listPriorHomes(Table, Id, Self);
  if (!PriorHomes.empty() && !PriorFenced) {
    return {home_verdict::AskPriorHomes, outcome::Unknown, refusal_reason::None,
            std::move(PriorHomes)};
  }
  if (isFull(Table)) {
    return fenceAndRefuse(Table, Id, refusal_reason::OutcomeTableFull);
  }
  insertRecord(Table, Id, {});
  return {home_verdict::Run, outcome::Unknown, refusal_reason::None, {}};
}

void completeRun(home_table &Table, const request_id &Id,
                 stored_answer Answer) {
  auto Found = Table.Records.find(Id);
  if (Found == Table.Records.end()) {
    return;
  }
  Table.AnswerBytes += Answer.Body.size();
  Found->second.State = id_state::Completed;
  Found->second.Answer = std::move(Answer);
}

void recordLostOutcome(home_table &Table, const request_id &Id,
                       refusal_reason Reason) {
  auto Found = Table.Records.find(Id);
  if (Found == Table.Records.end()) {
    return;
  }
  Found->second.State = id_state::OutcomeLost;
  Found->second.Reason = Reason;
}

void fenceRun(home_table &Table, const request_id &Id, refusal_reason Reason) {
  auto Found = Table.Records.find(Id);
  if (Found == Table.Records.end() ||
      Found->second.State != id_state::Running) {
    return;
  }
  // NOTE MaxFences is not checked here: the id is known not to have run, so it
  // has to be fenced. Runs that end this way may exceed the limit.
  Found->second.State = id_state::Fenced;
  Found->second.Reason = Reason;
  --Table.Runs;
  ++Table.Fences;
}

handover_verdict handOver(home_table &Table, const request_id &Id,
                          std::string_view Self, std::string_view Asker,
                          const std::vector<std::string> &GrantedBy,
                          wall_time Now) {
  deleteExpiredRecords(Table, Now);
  const id_record *Record = findRecord(Table, Id);
  if (Record == nullptr) {
    bool MayHaveRun = findHistoryGap(Table, Id, Self) != refusal_reason::None;
    for (const std::string &Home : listPriorHomes(Table, Id, Self)) {
      MayHaveRun |= std::find(GrantedBy.begin(), GrantedBy.end(), Home) ==
                    GrantedBy.end();
    }
    if (MayHaveRun || Table.Fences >= Table.Settings.MaxFences) {
      return handover_verdict::Indeterminate;
    }
    insertRecord(
        Table, Id,
        {id_state::Fenced, refusal_reason::HomeMoved, std::string(Asker), {}});
    return handover_verdict::Granted;
  }
  if (Record->State == id_state::Running) {
    return handover_verdict::Running;
  }
  if (Record->HandedOverTo.empty()) {
    return handover_verdict::Recorded;
  }
  return Record->HandedOverTo == Asker ? handover_verdict::Granted
                                       : handover_verdict::Indeterminate;
}

void adoptRecord(home_table &Table, const request_id &Id, id_record Record) {
  if (Table.Records.count(Id) == 0) {
    insertRecord(Table, Id, std::move(Record));
  }
}

const id_record *findRecord(const home_table &Table, const request_id &Id) {
  auto Found = Table.Records.find(Id);
  return Found == Table.Records.end() ? nullptr : &Found->second;
}

void deleteExpiredRecords(home_table &Table, wall_time Now) {
  Table.LatestWallTime = std::max(Table.LatestWallTime, Now);
  wall_time Oldest = Table.LatestWallTime - Table.Settings.Retention;
  while (!Table.IdsByIssueTime.empty() &&
         Table.IdsByIssueTime.begin()->first < Oldest) {
    request_id Id = Table.IdsByIssueTime.begin()->second;
    const id_record *Record = findRecord(Table, Id);
    if (Record != nullptr && Record->State == id_state::Running) {
      // A run may outlast the retention. Its record, and with it every later
      // one, is kept until the run ends.
      break;
    }
    eraseRecord(Table, Id);
    Table.IdsByIssueTime.erase(Table.IdsByIssueTime.begin());
  }
  std::erase_if(Table.FormerRosters, [&](const former_roster &Former) {
    return Former.IssuedBefore < Oldest;
  });
}

} // namespace figplank::execution
