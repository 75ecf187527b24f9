/// \file
/// Findings: problems in input, collected with their place and reported
/// together instead of stopping at the first one.
#pragma once

#include <string>
#include <vector>

namespace figplank::framework {

/// One problem and where it stands.
struct finding {
  /// A flag, variable, or file and JSON path.
  std::string Location;
  /// The offending value as written; may be empty.
  std::string Value;
  /// What is wrong and what is allowed.
  std::string Problem;

  bool operator==(const finding &) const = default;
};

using findings = std::vector<finding>;

/// One line per finding: `place: problem (value "...")`.
std::string formatFindings(const findings &Findings);

} // namespace figplank::framework
