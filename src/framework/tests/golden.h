/// \file
/// Golden files of whole sessions: a script of events with hand-driven time
/// goes in, the decisions come out and are compared with a committed file.
///
/// `NAME.session` holds one event a line, words separated by blanks, comments
/// behind '#'. `NAME.golden` holds every event with its decision. Run with
/// GOLDEN_UPDATE=1 to write it anew, and read the difference before
/// committing it.
#pragma once

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

namespace figplank::framework::tests {

using session_words = std::vector<std::string>;

inline std::string readFile(const std::string &Path) {
  std::ifstream Stream(Path);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

/// Plays the session \p Name; \p Decide returns the decision on one event.
inline void
playSession(const std::string &Name,
            const std::function<std::string(const session_words &)> &Decide) {
  const std::string Base = std::string(FIGPLANK_TEST_DATA) + "/" + Name;
  std::istringstream Session(readFile(Base + ".session"));
  std::string Played;
  std::string Line;
  while (std::getline(Session, Line)) {
    std::istringstream Text(Line.substr(0, Line.find('#')));
    session_words Words;
    std::string Word;
    while (Text >> Word) {
      Words.push_back(Word);
    }
    if (!Words.empty()) {
      std::string Event = Line.substr(0, Line.find('#'));
      Event.erase(Event.find_last_not_of(' ') + 1);
      Played += Event + " => " + Decide(Words) + "\n";
    }
  }
  if (std::getenv("GOLDEN_UPDATE") != nullptr) {
    std::ofstream(Base + ".golden") << Played;
  }
  STRCMP_EQUAL(readFile(Base + ".golden").c_str(), Played.c_str());
}

} // namespace figplank::framework::tests
