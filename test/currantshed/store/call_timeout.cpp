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
  { "after one failed call", 500ms, false, 400ms },
  { "after several failed calls", 3000ms, false, 1500ms },
  { "the maximum", 60000ms, false, 4000ms },
  { "once the store was read", 0ms, true, 1000ms },
  { "read, long after the start", 60000ms, true, 1000ms },
};

struct watch_wait_row
{
  const char* name;
  std::chrono::milliseconds history;
  std::chrono::milliseconds expect;
};

const watch_wait_row kWatchWaits[] = {
  { "an unknown history", 0ms, 25000ms },
  { "a short history", 8000ms, 4000ms },
  { "a history shorter than the longest watch", 20000ms, 10000ms },
  { "a long history", 3600s, 25000ms },
};

} // namespace

TEST_GROUP(call_timeout){};

// A watch that starts from dropped changes makes its VM read all keys.
TEST(call_timeout, a_watch_ends_before_the_changes_after_its_start_are_dropped)
{
  for (const auto& row : kWatchWaits) {
    CHECK_TEXT(store::WatchWait(row.history) == row.expect, row.name);
  }
}

TEST(call_timeout, is_short_until_the_store_was_read)
{
  for (const auto& row : kRows) {
    CHECK_TEXT(store::CallTimeout(row.sinceStart, row.hasRead) == row.expect,
               row.name);
  }
}
