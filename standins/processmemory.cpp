#include "standins/processmemory.h"

#include <fstream>
#include <string>

namespace figplank::standins {

std::size_t peakMemory(pid_t Process) {
  std::ifstream File("/proc/" + std::to_string(Process) + "/status");
  const std::string Name = "VmHWM:";
  constexpr std::size_t BytesPerKilobyte = 1024;
  std::string Line;
  while (std::getline(File, Line)) {
    if (Line.starts_with(Name)) {
      return std::stoul(Line.substr(Name.size())) * BytesPerKilobyte;
    }
  }
  return 0;
}

bool staysWithinMemory(pid_t Process) {
  std::size_t Peak = peakMemory(Process);
#if defined(__SANITIZE_ADDRESS__)
  return Peak > 0;
#else
  return Peak > 0 && Peak < MachineMemory;
#endif
}

} // namespace figplank::standins
