#include "execution/home.h"
#include "framework/tests/golden.h"

#include <map>

using namespace figplank;
using namespace figplank::execution;
using framework::tests::event_words;

namespace {

/// The homes of one service, each named by a letter, driven by a script.
class home_session {
public:
  std::string executeEvent(const event_words &Words) {
    Now = framework::wall_time(framework::milliseconds(std::stoll(Words[0])));
    const std::string &Event = Words[1];
    const std::string &Node = Words[2];
    if (Event == "start") {
      Homes[Node] = makeHomeTable({}, Now);
      return "accepts_from " +
             std::to_string(
                 Homes[Node].AcceptIssuedAfter.time_since_epoch().count());
    }
    if (Event == "roster") {
      return applyRoster(Node, Words);
    }
    if (Event == "wake") {
      refuseIdsIssuedUntil(Homes[Node], Now);
      return "reset";
    }
    return executeIdEvent(Event, Node, Words);
  }

private:
  static configuration::roster_member member(const std::string &Name) {
    return {Name, "z", Name};
  }

  static std::vector<configuration::roster_member>
  members(const std::string &Names) {
    std::vector<configuration::roster_member> Roster;
    for (char Name : Names) {
      if (Name != '-') {
        Roster.push_back(member(std::string(1, Name)));
      }
    }
    return Roster;
  }

  /// Executes `TIME roster NODE MEMBERS PREVIOUS...`. A roster is a string of
  /// one-letter member names, or `-` for none.
  std::string applyRoster(const std::string &Node, const event_words &Words) {
    configuration::service_settings Service;
    Service.Roster = members(Words[3]);
    for (std::size_t I = 4; I < Words.size() && Words[I] != "-"; ++I) {
      Service.PreviousRosters.push_back(members(Words[I]));
    }
    updateRoster(Homes[Node], Service, Now);
    return "former=" + std::to_string(Homes[Node].FormerRosters.size());
  }

  /// Executes `TIME EVENT NODE ID [...]`, where ID is `ISSUE_TIME.NUMBER`.
  std::string executeIdEvent(const std::string &Event, const std::string &Node,
                             const event_words &Words) {
    home_table &Table = Homes[Node];
    std::size_t Dot = Words[3].find('.');
    request_id Id = makeRequestId(framework::wall_time(framework::milliseconds(
                                      std::stoll(Words[3].substr(0, Dot)))),
                                  1, std::stoull(Words[3].substr(Dot + 1)));
    if (Event == "run" || Event == "run_fenced") {
      return formatDecision(
          decideRun(Table, Id, Node, Event == "run_fenced", Now));
    }
    if (Event == "hand_over") {
      constexpr const char *Names[] = {"granted", "running", "known",
                                       "unknowable"};
      event_words GrantedBy(Words.begin() + 5, Words.end());
      return Names[static_cast<int>(
          handOver(Table, Id, Node, Words[4], GrantedBy, Now))];
    }
    if (Event == "complete") {
      completeRun(Table, Id, {200, "", "answer"});
    } else if (Event == "lose") {
      recordLostOutcome(Table, Id, framework::refusal_reason::BackendFailed);
    } else if (Event == "fence") {
      fenceRun(Table, Id, framework::refusal_reason::Overload);
    } else if (Event == "adopt") {
      adoptRecord(Table, Id, *findRecord(Homes[Words[4]], Id));
    }
    return "runs=" + std::to_string(Table.Runs) +
           " fences=" + std::to_string(Table.Fences);
  }

  static std::string formatPriorHomes(const std::vector<std::string> &Homes) {
    std::string Text = "ask";
    for (const std::string &Home : Homes) {
      Text += " " + Home;
    }
    return Text;
  }

  static std::string formatDecision(const home_decision &Decision) {
    switch (Decision.Verdict) {
    case home_verdict::Run:
      return "run";
    case home_verdict::AwaitRun:
      return "join";
    case home_verdict::AnswerFromRecord:
      return "known";
    case home_verdict::AskPriorHomes:
      return formatPriorHomes(Decision.PriorHomes);
    case home_verdict::Refuse:
      break;
    }
    return std::string(framework::nameOf(Decision.Outcome)) + " " +
           std::string(framework::nameOf(Decision.Reason));
  }

  framework::wall_time Now;
  std::map<std::string, home_table> Homes;
};

void play(const std::string &Name) {
  home_session Session;
  framework::tests::replaySession(Name, [&](const event_words &Words) {
    return Session.executeEvent(Words);
  });
}

} // namespace

TEST_GROUP(HomeSession){};

TEST(HomeSession, Takeover) { play("takeover"); }
TEST(HomeSession, Replacement) { play("replacement"); }
TEST(HomeSession, OperatorsRace) { play("operators_race"); }
