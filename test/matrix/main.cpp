#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "test/matrix/report.hpp"

int
main(int aCount, char** aValues)
{
  try {
    return currantshed::matrix::RunProgram(
      std::vector<std::string>(aValues + 1, aValues + aCount));
  } catch (const std::exception& failure) {
    std::cerr << "currantshed-matrix: " << failure.what() << '\n';
    return EXIT_FAILURE;
  }
}
