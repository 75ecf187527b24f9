#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int Count, char **Arguments) {
  // The leak detector is not made for threads; AddressSanitizer watches in CI.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(Count, Arguments);
}
