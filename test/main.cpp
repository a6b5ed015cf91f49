#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

/// Counts memory under a lock, since libraries under test run threads of
/// their own.
int
main(int aCount, char** aValues)
{
  MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
