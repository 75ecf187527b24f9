/// \file
/// Golden-file tests of sessions. The test replays a scripted sequence of
/// events with simulated time, and compares the decisions with a committed
/// file.
///
/// `NAME.session` has one event per line, as words separated by blanks; '#'
/// starts a comment. `NAME.golden` has every event with its decision. Set the
/// environment variable GOLDEN_UPDATE=1 to rewrite it, and review the diff
/// before committing it.
#pragma once

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

namespace figplank::framework::tests {

using event_words = std::vector<std::string>;

inline std::string readFile(const std::string &Path) {
  std::ifstream Stream(Path);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

/// Replays the session \p Name and compares the result with the golden file.
/// \p Decide returns the decision on one event.
inline void
replaySession(const std::string &Name,
              const std::function<std::string(const event_words &)> &Decide) {
  const std::string BasePath = std::string(FIGPLANK_TEST_DATA) + "/" + Name;
  std::istringstream Session(readFile(BasePath + ".session"));
  std::string Transcript;
  std::string Line;
  while (std::getline(Session, Line)) {
    std::istringstream Text(Line.substr(0, Line.find('#')));
    event_words Words;
    std::string Word;
    while (Text >> Word) {
      Words.push_back(Word);
    }
    if (!Words.empty()) {
      std::string Event = Line.substr(0, Line.find('#'));
      Event.erase(Event.find_last_not_of(' ') + 1);
      Transcript += Event + " => " + Decide(Words) + "\n";
    }
  }
  if (std::getenv("GOLDEN_UPDATE") != nullptr) {
    std::ofstream(BasePath + ".golden") << Transcript;
  }
  STRCMP_EQUAL(readFile(BasePath + ".golden").c_str(), Transcript.c_str());
}

} // namespace figplank::framework::tests
