// rapidcheck.h must be included before CppUTest's headers.
#include <rapidcheck.h>

#include "execution/home.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

using namespace figplank;
using namespace figplank::execution;
using configuration::roster_member;

namespace {

using framework::milliseconds;
using framework::wall_time;

constexpr const char *Addresses[] = {"a", "b", "c"};

/// Model of three nodes. Copies of a few ids arrive at any of them while
/// rosters change, nodes are replaced and runs end.
struct home_fleet {
  home_fleet() {
    for (const char *Address : Addresses) {
      Homes[Address] = makeHomeTable({}, Now);
      updateRoster(Homes[Address], Service, Now);
    }
    Now += milliseconds(10'000);
  }

  static std::vector<roster_member> rosterOf(int MemberMask) {
    std::vector<roster_member> Roster;
    for (int I = 0; I < 3; ++I) {
      if (MemberMask >> I & 1) {
        Roster.push_back({Addresses[I], "z", Addresses[I]});
      }
    }
    return Roster;
  }

  /// Publishes a roster. All rosters that a node may still use are kept as
  /// previous ones, because each node learns of the change at a different time.
  void publishRoster(int MemberMask) {
    Service.PreviousRosters.insert(Service.PreviousRosters.begin(),
                                   Service.Roster);
    Service.Roster = rosterOf(MemberMask);
  }

  /// Removes the previous rosters. An operator may do so only after every node
  /// has applied the current one.
  void removePreviousRosters() {
    for (auto &[Address, Table] : Homes) {
      updateRoster(Table, Service, Now);
    }
    Service.PreviousRosters.clear();
  }

  void applyPublishedRoster(const std::string &Address) {
    updateRoster(Homes[Address], Service, Now);
  }

  void replaceNode(const std::string &Address) {
    Homes[Address] = makeHomeTable({}, Now);
    updateRoster(Homes[Address], Service, Now);
  }

  bool askPriorHomes(home_table &Table, const request_id &Id,
                     const std::string &Address,
                     const std::vector<std::string> &PriorHomes) {
    std::vector<std::string> GrantedBy;
    for (const std::string &Home : PriorHomes) {
      handover_verdict Verdict =
          handOver(Homes[Home], Id, Home, Address, GrantedBy, Now);
      if (Verdict == handover_verdict::Recorded) {
        adoptRecord(Table, Id, *findRecord(Homes[Home], Id));
        return true;
      }
      if (Verdict != handover_verdict::Granted) {
        return false;
      }
      GrantedBy.push_back(Home);
    }
    return true;
  }

  void receiveCopy(const std::string &Address, const request_id &Id,
                   bool PriorReachable) {
    home_table &Table = Homes[Address];
    home_decision Decision = decideRun(Table, Id, Address, false, Now);
    if (Decision.Verdict == home_verdict::AskPriorHomes && PriorReachable &&
        askPriorHomes(Table, Id, Address, Decision.PriorHomes)) {
      Decision = decideRun(Table, Id, Address, true, Now);
    }
    if (Decision.Verdict == home_verdict::Run) {
      ++Runs[Id];
    }
    if (Decision.Outcome == framework::outcome::NotRun) {
      ReportedNotRun.insert(Id);
    }
  }

  void endRun(const std::string &Address, const request_id &Id, int Ending) {
    const id_record *Record = findRecord(Homes[Address], Id);
    if (Record == nullptr || Record->State != id_state::Running) {
      return;
    }
    if (Ending == 0) {
      completeRun(Homes[Address], Id, {200, "", "x"});
    } else if (Ending == 1) {
      recordLostOutcome(Homes[Address], Id,
                        framework::refusal_reason::ConnectionLost);
    } else {
      // The request was refused before it reached the backend server.
      fenceRun(Homes[Address], Id, framework::refusal_reason::Overload);
      --Runs[Id];
      ReportedNotRun.insert(Id);
    }
  }

  /// Current and previous rosters of every node, printed when the check fails.
  std::string describeRosters() const {
    std::string Text = "  published " + joinNames(Service.Roster) + "/" +
                       joinNames(Service.PreviousRosters);
    for (const auto &[Address, Table] : Homes) {
      Text += "; " + Address + " " + joinNames(Table.Roster) + "/" +
              joinNames(Table.PreviousRosters) + " former " +
              std::to_string(Table.FormerRosters.size()) + " runs " +
              std::to_string(Table.Runs) + " fences " +
              std::to_string(Table.Fences);
    }
    return Text + "\n";
  }

  static std::string
  joinNames(const std::vector<std::vector<roster_member>> &Rosters) {
    std::string Text;
    for (const std::vector<roster_member> &Roster : Rosters) {
      Text += joinNames(Roster) + ",";
    }
    return Text;
  }

  static std::string joinNames(const std::vector<roster_member> &Roster) {
    std::string Text;
    for (const roster_member &Member : Roster) {
      Text += Member.Name;
    }
    return Text.empty() ? "-" : Text;
  }

  wall_time Now{milliseconds(1'000'000)};
  configuration::service_settings Service{"s", 1, rosterOf(1), {}};
  std::map<std::string, home_table> Homes;
  std::map<request_id, int> Runs;
  std::set<request_id> ReportedNotRun;
};

} // namespace

TEST_GROUP(HomeProperty){};

TEST(HomeProperty, NoIdRunsTwiceAndNoneRunsThatIsReportedNotRun) {
  bool Passed = rc::check(
      "at most once under copies, roster changes and replacements", []() {
        home_fleet Fleet;
        std::vector<request_id> Ids;
        std::string Trace;
        int Steps = *rc::gen::inRange(1, 120);
        for (int Step = 0; Step < Steps; ++Step) {
          Fleet.Now += milliseconds(*rc::gen::inRange(0, 1'500));
          std::string Address = Addresses[*rc::gen::inRange(0, 3)];
          int Event = *rc::gen::inRange(0, 12);
          if (Ids.empty() || Event == 0) {
            Ids.push_back(makeRequestId(Fleet.Now, 1, Ids.size()));
          }
          const std::size_t Chosen =
              *rc::gen::inRange<std::size_t>(0, Ids.size());
          const request_id &Id = Ids[Chosen];
          Trace += std::to_string(Fleet.Now.time_since_epoch().count()) +
                   " event " + std::to_string(Event) + " at " + Address +
                   " id " + std::to_string(Chosen) + "\n";
          switch (Event) {
          case 1:
            Fleet.publishRoster(*rc::gen::inRange(1, 8));
            break;
          case 2:
            Fleet.removePreviousRosters();
            break;
          case 3:
            Fleet.replaceNode(Address);
            break;
          case 4:
          case 5:
            Fleet.applyPublishedRoster(Address);
            break;
          case 6:
          case 7:
            Fleet.endRun(Address, Id, *rc::gen::inRange(0, 3));
            break;
          default:
            Fleet.receiveCopy(Address, Id, *rc::gen::inRange(0, 4) > 0);
            break;
          }
          Trace += Fleet.describeRosters();
          for (const auto &[RunId, Count] : Fleet.Runs) {
            if (Count > 1 ||
                (Count == 1 && Fleet.ReportedNotRun.count(RunId) > 0)) {
              RC_LOG(Trace);
            }
            RC_ASSERT(Count <= 1);
            RC_ASSERT(Count == 0 || Fleet.ReportedNotRun.count(RunId) == 0);
          }
        }
      });
  CHECK(Passed);
}
