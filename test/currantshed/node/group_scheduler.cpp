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

struct time_given
{
  std::string group;
  clock::duration at;
};

struct row
{
  const char* name;
  std::vector<time_given> given;
  clock::duration when;
  std::vector<std::string> due;
  clock::duration next;
  std::vector<std::string> awake;
};

const row kRows[] = {
  { "nothing to do", {}, 5s, {}, kNever, {} },
  { "not yet", { { "a", 10ms } }, 9ms, {}, 10ms, { "a" } },
  { "now", { { "a", 10ms } }, 10ms, { "a" }, 10ms, { "a" } },
  { "several, by name",
    { { "b", 5ms }, { "a", 10ms }, { "c", 20ms } },
    15ms,
    { "a", "b" },
    5ms,
    { "a", "b", "c" } },
  { "a later time takes the place of an earlier one",
    { { "a", 5ms }, { "a", 50ms } },
    10ms,
    {},
    50ms,
    { "a" } },
  { "one that waits for others again",
    { { "a", 5ms }, { "b", 7ms }, { "a", kNever } },
    10ms,
    { "b" },
    7ms,
    { "b" } },
};

} // namespace

TEST_GROUP(group_scheduler){};

TEST(group_scheduler, tells_which_groups_are_due)
{
  for (const auto& row : kRows) {
    group_scheduler agenda;
    for (const auto& one : row.given) {
      agenda.SetDue(one.group, kStart + one.at);
    }
    CHECK_TEXT(agenda.Due(kStart + row.when) == row.due, row.name);
    CHECK_TEXT(agenda.Next() == kStart + row.next, row.name);
    CHECK_TEXT(agenda.Scheduled() == row.awake, row.name);
  }
}

TEST(group_scheduler, touched_groups_are_returned_once)
{
  group_scheduler agenda;
  agenda.Touch("b");
  agenda.Touch("a");
  agenda.Touch("b");
  CHECK(agenda.TakePending() == (std::vector<std::string>{ "a", "b" }));
  CHECK(agenda.TakePending().empty());
}
