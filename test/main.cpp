#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

/// Enables CppUTest's thread-safe memory leak detection, since libraries under
/// test run their own threads.
int
main(int aCount, char** aValues)
{
  MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
