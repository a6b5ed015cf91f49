#include "currantshed/burn/program.hpp"

int
main(int aCount, char** aValues)
{
  return currantshed::burn::RunProgram(aCount, aValues);
}
