#include "currantshed/ctl/program.hpp"

int
main(int aCount, char** aValues)
{
  return currantshed::ctl::RunProgram(aCount, aValues);
}
