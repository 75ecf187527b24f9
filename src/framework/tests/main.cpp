#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int Count, char **Arguments) {
  // CppUTest's leak detector is not thread-safe. CI detects leaks with
  // AddressSanitizer.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(Count, Arguments);
}
