#include "currantshed/node/group_agenda.hpp"

#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using node::group_agenda;

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

TEST_GROUP(group_agenda){};

TEST(group_agenda, tells_which_groups_are_due)
{
  for (const auto& row : kRows) {
    group_agenda agenda;
    for (const auto& one : row.given) {
      agenda.SetDue(one.group, kStart + one.at);
    }
    CHECK_TEXT(agenda.Due(kStart + row.when) == row.due, row.name);
    CHECK_TEXT(agenda.Next() == kStart + row.next, row.name);
    CHECK_TEXT(agenda.Awake() == row.awake, row.name);
  }
}

TEST(group_agenda, touched_groups_are_told_once)
{
  group_agenda agenda;
  agenda.Touch("b");
  agenda.Touch("a");
  agenda.Touch("b");
  CHECK(agenda.TakeTouched() == (std::vector<std::string>{ "a", "b" }));
  CHECK(agenda.TakeTouched().empty());
}
