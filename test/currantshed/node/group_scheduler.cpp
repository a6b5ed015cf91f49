#include "currantshed/node/group_scheduler.hpp"

#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using node::group_scheduler;

namespace {

const clock::time_point kStart{ 1h };
const auto kNever = clock::time_point::max() - kStart;

struct scheduled_action
{
  std::string group;
  clock::duration at;
};

struct row
{
  const char* name;
  std::vector<scheduled_action> given;
  clock::duration when;
  std::vector<std::string> due;
  clock::duration next;
  std::vector<std::string> scheduled;
};

const row kRows[] = {
  { "nothing scheduled", {}, 5s, {}, kNever, {} },
  { "before the time", { { "a", 10ms } }, 9ms, {}, 10ms, { "a" } },
  { "now", { { "a", 10ms } }, 10ms, { "a" }, 10ms, { "a" } },
  { "several groups, ordered by name",
    { { "b", 5ms }, { "a", 10ms }, { "c", 20ms } },
    15ms,
    { "a", "b" },
    5ms,
    { "a", "b", "c" } },
  { "a later time replaces an earlier one",
    { { "a", 5ms }, { "a", 50ms } },
    10ms,
    {},
    50ms,
    { "a" } },
  { "a group that no longer has a scheduled action",
    { { "a", 5ms }, { "b", 7ms }, { "a", kNever } },
    10ms,
    { "b" },
    7ms,
    { "b" } },
};

} // namespace

TEST_GROUP(group_scheduler){};

TEST(group_scheduler, returns_the_groups_that_are_due)
{
  for (const auto& row : kRows) {
    group_scheduler scheduler;
    for (const auto& one : row.given) {
      scheduler.SetDue(one.group, kStart + one.at);
    }
    CHECK_TEXT(scheduler.Due(kStart + row.when) == row.due, row.name);
    CHECK_TEXT(scheduler.Next() == kStart + row.next, row.name);
    CHECK_TEXT(scheduler.Scheduled() == row.scheduled, row.name);
  }
}

TEST(group_scheduler, pending_groups_are_returned_once)
{
  group_scheduler scheduler;
  scheduler.MarkPending("b");
  scheduler.MarkPending("a");
  scheduler.MarkPending("b");
  CHECK(scheduler.TakePending() == (std::vector<std::string>{ "a", "b" }));
  CHECK(scheduler.TakePending().empty());
}
