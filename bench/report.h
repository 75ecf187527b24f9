/// \file
/// Output of benchmarks: tables by rank and the verdict line.
#pragma once

#include <string>
#include <vector>

namespace figplank::bench {

/// How a figure is held against its target.
enum class bound { AtLeast, AtMost };

/// One figure that a benchmark is judged by.
struct judged_figure {
  std::string Name;
  double Figure = 0.0;
  double Target = 0.0;
  bound Bound = bound::AtLeast;
};

bool passes(const judged_figure &Judged);

/// Prints every figure, then the verdict line of the benchmark
/// `NAME figure=… target=… verdict=pass|fail` with the first figure that
/// fails, or else the first. Returns the exit code.
int report(const std::string &Name, const std::vector<judged_figure> &Figures);

/// Prints one row of a table with cells 12 wide.
void printRow(const std::vector<std::string> &Cells);

std::string formatNumber(double Number, int Digits = 1);

} // namespace figplank::bench
