#include "currantshed/node/subscribers.hpp"

#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

const clock::time_point kStart{ 1h };

std::string
Joined(const std::vector<std::string>& aNames)
{
  std::string text;
  for (const auto& one : aNames) {
    text += one + " ";
  }
  return text;
}

struct poll
{
  std::chrono::milliseconds at;
  std::vector<std::string> groups;
  /// Groups that are new in the subscription.
  std::string added;
};

struct poll_row
{
  const char* name;
  std::vector<poll> polls;
  /// Time of the check, and whether the VM is subscribed then at all, to "a"
  /// and to "b".
  std::chrono::milliseconds checkAt;
  bool isLeft;
  bool wantsA;
  bool wantsB;
};

const poll_row kPolls[] = {
  { "no groups", { { 0ms, {}, "" } }, 10ms, true, false, false },
  { "one group", { { 0ms, { "a" }, "a " } }, 10ms, true, true, false },
  { "an additional group",
    { { 0ms, { "a" }, "a " }, { 400ms, { "a", "b" }, "b " } },
    410ms,
    true,
    true,
    true },
  { "unsubscribes from a group, then subscribes again",
    { { 0ms, { "a", "b" }, "a b " },
      { 400ms, { "b" }, "" },
      { 800ms, { "a", "b" }, "a " } },
    810ms,
    true,
    true,
    true },
  { "unsubscribes from a group",
    { { 0ms, { "a", "b" }, "a b " }, { 400ms, { "b" }, "" } },
    410ms,
    true,
    false,
    true },
  { "stops polling", { { 0ms, { "a" }, "a " } }, 2001ms, false, false, false },
};

} // namespace

TEST_GROUP(subscribers){};

TEST(subscribers, subscribe_to_the_groups_that_they_name)
{
  for (const auto& row : kPolls) {
    node::subscribers subscribers;
    CHECK_TEXT(subscribers.Empty(), row.name);
    for (const auto& one : row.polls) {
      const auto added =
        subscribers.Subscribe("v", one.groups, kStart + one.at);
      STRCMP_EQUAL_TEXT(one.added.c_str(), Joined(added).c_str(), row.name);
    }
    subscribers.RemoveExpired(kStart + row.checkAt);
    CHECK_EQUAL_TEXT(row.isLeft, subscribers.Contains("v"), row.name);
    CHECK_EQUAL_TEXT(row.isLeft, !subscribers.Empty(), row.name);
    STRCMP_EQUAL_TEXT(
      row.isLeft ? "v " : "", Joined(subscribers.All()).c_str(), row.name);
    CHECK_EQUAL_TEXT(
      row.wantsA, subscribers.GroupsOf("v").contains("a"), row.name);
    CHECK_EQUAL_TEXT(
      row.wantsB, subscribers.GroupsOf("v").contains("b"), row.name);
    CHECK_FALSE_TEXT(subscribers.GroupsOf("w").contains("a"), row.name);
  }
}

TEST(subscribers, groups_count_as_used_for_a_while)
{
  node::groups_in_use subscribers;
  STRCMP_EQUAL("", Joined(subscribers.All(kStart)).c_str());
  subscribers.MarkUsed("a", kStart);
  subscribers.MarkUsed("b", kStart + 2s);
  subscribers.MarkUsed("b", kStart + 1s);
  STRCMP_EQUAL("a b ", Joined(subscribers.All(kStart + 3s)).c_str());
  CHECK(subscribers.Contains("a", kStart + 3s));
  STRCMP_EQUAL("b ", Joined(subscribers.All(kStart + 3001ms)).c_str());
  CHECK_FALSE(subscribers.Contains("a", kStart + 3001ms));
  CHECK(subscribers.Contains("b", kStart + 5s));
  CHECK_FALSE(subscribers.Contains("b", kStart + 5001ms));
}
