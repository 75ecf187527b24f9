#include "bench/process.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace figplank::bench {

double cpuSeconds(pid_t Process) {
  std::ifstream Stream("/proc/" + std::to_string(Process) + "/stat");
  std::string Line;
  std::getline(Stream, Line);
  // Of the fields after the closing parenthesis of the command name, 12 and 13
  // are the user and system times in clock ticks.
  std::istringstream Fields(Line.substr(Line.rfind(')') + 1));
  std::string Field;
  double Ticks = 0.0;
  for (int I = 1; Fields >> Field && I <= 13; ++I) {
    Ticks += I >= 12 ? std::stod(Field) : 0.0;
  }
  return Ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentBytes(pid_t Process) {
  std::ifstream Stream("/proc/" + std::to_string(Process) + "/statm");
  double Total = 0.0;
  double Resident = 0.0;
  Stream >> Total >> Resident;
  return Resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

std::uint64_t loopbackBytes() {
  std::ifstream Stream("/proc/net/dev");
  std::string Line;
  while (std::getline(Stream, Line)) {
    std::size_t Found = Line.find("lo:");
    if (Found != std::string::npos) {
      std::istringstream Fields(Line.substr(Found + 3));
      std::uint64_t Bytes = 0;
      Fields >> Bytes;
      return Bytes;
    }
  }
  return 0;
}

} // namespace figplank::bench
