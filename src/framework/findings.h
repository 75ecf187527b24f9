/// \file
/// Findings of a validation: problems in the input are collected with their
/// locations and reported together, rather than only the first one.
#pragma once

#include <string>
#include <vector>

namespace figplank::framework {

/// One problem and its location.
struct finding {
  /// A flag, an environment variable, or a file followed by a setting or by a
  /// JSON path.
  std::string Location;
  /// The invalid value as it was given; empty if there is none to show.
  std::string Value;
  /// What is wrong or which values are allowed.
  std::string Problem;

  bool operator==(const finding &) const = default;
};

using findings = std::vector<finding>;

/// Formats one line per finding: `location: problem (value "...")`.
std::string formatFindings(const findings &Findings);

} // namespace figplank::framework
