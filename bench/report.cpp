#include "bench/report.h"

#include <cstdio>

namespace figplank::bench {

bool passes(const checked_figure &Checked) {
  return Checked.Bound == bound::AtLeast ? Checked.Figure >= Checked.Target
                                         : Checked.Figure <= Checked.Target;
}

std::string formatNumber(double Number, int Digits) {
  char Buffer[64];
  std::snprintf(Buffer, sizeof Buffer, "%.*f", Digits, Number);
  return Buffer;
}

void printRow(const std::vector<std::string> &Cells) {
  for (const std::string &Cell : Cells) {
    std::printf("%-16s ", Cell.c_str());
  }
  std::printf("\n");
  std::fflush(stdout);
}

int report(const std::string &Name,
           const std::vector<checked_figure> &Figures) {
  const checked_figure *Reported = &Figures.front();
  bool AllPass = true;
  for (const checked_figure &Checked : Figures) {
    std::printf("  %s: %.3f (target %s %.3f) %s\n", Checked.Name.c_str(),
                Checked.Figure,
                Checked.Bound == bound::AtLeast ? ">=" : "<=", Checked.Target,
                passes(Checked) ? "pass" : "fail");
    if (AllPass && !passes(Checked)) {
      AllPass = false;
      Reported = &Checked;
    }
  }
  std::printf("%s figure=%.3f target=%.3f verdict=%s\n", Name.c_str(),
              Reported->Figure, Reported->Target, AllPass ? "pass" : "fail");
  return AllPass ? 0 : 1;
}

} // namespace figplank::bench
