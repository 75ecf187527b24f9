/// \file
/// Output of benchmarks: tables and the verdict line.
#pragma once

#include <string>
#include <vector>

namespace figplank::bench {

/// Whether a figure must be at least or at most its target.
enum class bound { AtLeast, AtMost };

/// One figure of a benchmark and its target.
struct checked_figure {
  std::string Name;
  double Figure = 0.0;
  double Target = 0.0;
  bound Bound = bound::AtLeast;
};

bool passes(const checked_figure &Checked);

/// Prints every figure, then the verdict line
/// `NAME figure=… target=… verdict=pass|fail` of the benchmark. That line shows
/// the first figure that fails, or the first figure if all pass. Returns the
/// exit code.
int report(const std::string &Name, const std::vector<checked_figure> &Figures);

/// Prints one table row; each cell is padded to 16 characters.
void printRow(const std::vector<std::string> &Cells);

std::string formatNumber(double Number, int Digits = 1);

} // namespace figplank::bench
