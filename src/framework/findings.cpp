#include "framework/findings.h"

namespace figplank::framework {

std::string formatFindings(const findings &Findings) {
  std::string Text;
  for (const finding &Finding : Findings) {
    Text += Finding.Location;
    Text += ": ";
    Text += Finding.Problem;
    if (!Finding.Value.empty()) {
      Text += " (value \"" + Finding.Value + "\")";
    }
    Text += '\n';
  }
  return Text;
}

} // namespace figplank::framework
