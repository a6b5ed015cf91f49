#include "currantshed/store/call_timeout.hpp"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

struct call_timeout_row
{
  const char* name;
  std::chrono::milliseconds sinceStart;
  bool hasRead;
  std::chrono::milliseconds expect;
};

const call_timeout_row kRows[] = {
  { "the first call", 0ms, false, 400ms },
  { "after one in vain", 500ms, false, 400ms },
  { "after some", 3000ms, false, 1500ms },
  { "never without end", 60000ms, false, 4000ms },
  { "once all is known", 0ms, true, 1000ms },
  { "and later", 60000ms, true, 1000ms },
};

} // namespace

TEST_GROUP(call_timeout){};

TEST(call_timeout, is_short_until_the_store_was_read)
{
  for (const auto& row : kRows) {
    CHECK_TEXT(store::CallTimeout(row.sinceStart, row.hasRead) == row.expect,
               row.name);
  }
}
