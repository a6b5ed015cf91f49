#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>

#include "test/platform/fuzz_entry.hpp"
#include "test/platform/fuzz_line.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;

namespace {

/// Runs the check on each file of the folder. Returns the number of files.
std::size_t
Replay(const char* aFolder, void (*aCheck)(std::string_view))
{
  std::size_t count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(aFolder)) {
    std::ifstream file(entry.path(), std::ios::binary);
    const std::string text{ std::istreambuf_iterator<char>(file), {} };
    aCheck(text);
    ++count;
  }
  return count;
}

} // namespace

TEST_GROUP(line_corpus){};

TEST(line_corpus, every_line_keeps_its_promises)
{
  CHECK(Replay(CURRANTSHED_LINE_CORPUS, test::CheckLine) >= 30);
}

TEST_GROUP(entry_corpus){};

TEST(entry_corpus, every_entry_keeps_its_promises)
{
  CHECK(Replay(CURRANTSHED_ENTRY_CORPUS, test::CheckEntry) >= 29);
}
