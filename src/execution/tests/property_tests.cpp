// Clang and CppUTest redefine nothing that rapidcheck needs, but its header
// must come first.
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

/// A small fleet in which copies of a few ids arrive anywhere while rosters
/// change one step at a time, nodes are replaced and runs end.
struct home_fleet {
  home_fleet() {
    for (const char *Address : Addresses) {
      Homes[Address] = makeHomeTable({}, Now);
      updateRoster(Homes[Address], Service, Now);
    }
    Now += milliseconds(10'000);
  }

  static std::vector<roster_member> rosterOf(int Choice) {
    std::vector<roster_member> Roster;
    for (int I = 0; I < 3; ++I) {
      if (Choice >> I & 1) {
        Roster.push_back({Addresses[I], "z", Addresses[I]});
      }
    }
    return Roster;
  }

  /// The operator publishes a roster and keeps all that may still be in force
  /// as previous ones. It reaches each node at a time of its own.
  void publish(int Choice) {
    Service.PreviousRosters.insert(Service.PreviousRosters.begin(),
                                   Service.Roster);
    Service.Roster = rosterOf(Choice);
  }

  /// The operator drops the previous rosters, which is allowed only once every
  /// node has the current one.
  void dropPrevious() {
    for (auto &[Address, Table] : Homes) {
      updateRoster(Table, Service, Now);
    }
    Service.PreviousRosters.clear();
  }

  void deliver(const std::string &Address) {
    updateRoster(Homes[Address], Service, Now);
  }

  void replace(const std::string &Address) {
    Homes[Address] = makeHomeTable({}, Now);
    updateRoster(Homes[Address], Service, Now);
  }

  bool askPriorHomes(home_table &Table, const request_id &Id,
                     const std::string &Address,
                     const std::vector<std::string> &PriorHomes) {
    std::vector<std::string> Asked;
    for (const std::string &Home : PriorHomes) {
      handover_verdict Verdict =
          handOver(Homes[Home], Id, Home, Address, Asked, Now);
      if (Verdict == handover_verdict::Recorded) {
        adoptRecord(Table, Id, *findRecord(Homes[Home], Id));
        return true;
      }
      if (Verdict != handover_verdict::Granted) {
        return false;
      }
      Asked.push_back(Home);
    }
    return true;
  }

  void arrive(const std::string &Address, const request_id &Id,
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
      Refused.insert(Id);
    }
  }

  void end(const std::string &Address, const request_id &Id, int How) {
    const id_record *Record = findRecord(Homes[Address], Id);
    if (Record == nullptr || Record->State != id_state::Running) {
      return;
    }
    if (How == 0) {
      completeRun(Homes[Address], Id, {200, "", "x"});
    } else if (How == 1) {
      recordLostOutcome(Homes[Address], Id,
                        framework::refusal_reason::ConnectionLost);
    } else {
      // The request was refused before it began.
      fenceRun(Homes[Address], Id, framework::refusal_reason::Overload);
      --Runs[Id];
      Refused.insert(Id);
    }
  }

  /// Rosters and previous rosters, for the trace of a failure.
  std::string state() const {
    std::string Text = "  published " + names(Service.Roster) + "/" +
                       names(Service.PreviousRosters);
    for (const auto &[Address, Table] : Homes) {
      Text += "; " + Address + " " + names(Table.Roster) + "/" +
              names(Table.PreviousRosters) + " former " +
              std::to_string(Table.Former.size()) + " runs " +
              std::to_string(Table.Runs) + " fences " +
              std::to_string(Table.Fences);
    }
    return Text + "\n";
  }

  static std::string
  names(const std::vector<std::vector<roster_member>> &Rosters) {
    std::string Text;
    for (const std::vector<roster_member> &Roster : Rosters) {
      Text += names(Roster) + ",";
    }
    return Text;
  }

  static std::string names(const std::vector<roster_member> &Roster) {
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
  std::set<request_id> Refused;
};

} // namespace

TEST_GROUP(HomeProperty){};

TEST(HomeProperty, NoIdRunsTwiceAndNoRefusalIsFalse) {
  bool Holds = rc::check(
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
            Fleet.publish(*rc::gen::inRange(1, 8));
            break;
          case 2:
            Fleet.dropPrevious();
            break;
          case 3:
            Fleet.replace(Address);
            break;
          case 4:
          case 5:
            Fleet.deliver(Address);
            break;
          case 6:
          case 7:
            Fleet.end(Address, Id, *rc::gen::inRange(0, 3));
            break;
          default:
            Fleet.arrive(Address, Id, *rc::gen::inRange(0, 4) > 0);
            break;
          }
          Trace += Fleet.state();
          for (const auto &[Ran, Count] : Fleet.Runs) {
            if (Count > 1 || (Count == 1 && Fleet.Refused.count(Ran) > 0)) {
              RC_LOG(Trace);
            }
            RC_ASSERT(Count <= 1);
            RC_ASSERT(Count == 0 || Fleet.Refused.count(Ran) == 0);
          }
        }
      });
  CHECK(Holds);
}
