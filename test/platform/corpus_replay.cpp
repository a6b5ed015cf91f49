#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "test/platform/fuzz_line.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;

TEST_GROUP(line_corpus){};

TEST(line_corpus, every_line_keeps_its_promises)
{
  std::size_t played = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(CURRANTSHED_LINE_CORPUS)) {
    std::ifstream file(entry.path(), std::ios::binary);
    const std::string line{ std::istreambuf_iterator<char>(file), {} };
    test::CheckLine(line);
    ++played;
  }
  CHECK(played >= 30);
}
