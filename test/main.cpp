#include <CppUTest/CommandLineTestRunner.h>

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
