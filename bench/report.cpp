#include "bench/report.h"

#include <cstdio>

namespace figplank::bench {

bool passes(const judged_figure &Judged) {
  return Judged.Bound == bound::AtLeast ? Judged.Figure >= Judged.Target
                                        : Judged.Figure <= Judged.Target;
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

int report(const std::string &Name, const std::vector<judged_figure> &Figures) {
  const judged_figure *Shown = &Figures.front();
  bool AllPass = true;
  for (const judged_figure &Judged : Figures) {
    std::printf("  %s: %.3f (target %s %.3f) %s\n", Judged.Name.c_str(),
                Judged.Figure,
                Judged.Bound == bound::AtLeast ? ">=" : "<=", Judged.Target,
                passes(Judged) ? "pass" : "fail");
    if (AllPass && !passes(Judged)) {
      AllPass = false;
      Shown = &Judged;
    }
  }
  std::printf("%s figure=%.3f target=%.3f verdict=%s\n", Name.c_str(),
              Shown->Figure, Shown->Target, AllPass ? "pass" : "fail");
  return AllPass ? 0 : 1;
}

} // namespace figplank::bench
