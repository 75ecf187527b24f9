#include <CppUTest/CommandLineTestRunner.h>

int main(int Count, char **Arguments) {
  // Libraries keep buffers between tests, which the leak detector would
  // report; AddressSanitizer watches for leaks in CI.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(Count, Arguments);
}
