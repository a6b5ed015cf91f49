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

struct question
{
  std::chrono::milliseconds at;
  std::vector<std::string> groups;
  /// Groups that it has had no words on.
  std::string added;
};

struct question_row
{
  const char* name;
  std::vector<question> questions;
  /// When the box is looked at, who is left, and whether "a" and "b" are
  /// wanted.
  std::chrono::milliseconds lookAt;
  bool isLeft;
  bool wantsA;
  bool wantsB;
};

const question_row kQuestions[] = {
  { "asks for nothing", { { 0ms, {}, "" } }, 10ms, true, false, false },
  { "asks for one", { { 0ms, { "a" }, "a " } }, 10ms, true, true, false },
  { "asks for another one as well",
    { { 0ms, { "a" }, "a " }, { 400ms, { "a", "b" }, "b " } },
    410ms,
    true,
    true,
    true },
  { "wants one no longer, then again",
    { { 0ms, { "a", "b" }, "a b " },
      { 400ms, { "b" }, "" },
      { 800ms, { "a", "b" }, "a " } },
    810ms,
    true,
    true,
    true },
  { "wants one no longer",
    { { 0ms, { "a", "b" }, "a b " }, { 400ms, { "b" }, "" } },
    410ms,
    true,
    false,
    true },
  { "asks no more", { { 0ms, { "a" }, "a " } }, 2001ms, false, false, false },
};

} // namespace

TEST_GROUP(subscribers){};

TEST(subscribers, are_told_what_they_ask_for)
{
  for (const auto& row : kQuestions) {
    node::subscribers box;
    CHECK_TEXT(box.Empty(), row.name);
    for (const auto& one : row.questions) {
      const auto added = box.Asked("v", one.groups, kStart + one.at);
      STRCMP_EQUAL_TEXT(one.added.c_str(), Joined(added).c_str(), row.name);
    }
    box.RemoveExpired(kStart + row.lookAt);
    CHECK_EQUAL_TEXT(row.isLeft, box.Contains("v"), row.name);
    CHECK_EQUAL_TEXT(row.isLeft, !box.Empty(), row.name);
    STRCMP_EQUAL_TEXT(
      row.isLeft ? "v " : "", Joined(box.All()).c_str(), row.name);
    CHECK_EQUAL_TEXT(row.wantsA, box.GroupsOf("v").contains("a"), row.name);
    CHECK_EQUAL_TEXT(row.wantsB, box.GroupsOf("v").contains("b"), row.name);
    CHECK_FALSE_TEXT(box.GroupsOf("w").contains("a"), row.name);
  }
}

TEST(subscribers, groups_count_as_used_for_a_while)
{
  node::groups_in_use box;
  STRCMP_EQUAL("", Joined(box.All(kStart)).c_str());
  box.MarkUsed("a", kStart);
  box.MarkUsed("b", kStart + 2s);
  box.MarkUsed("b", kStart + 1s);
  STRCMP_EQUAL("a b ", Joined(box.All(kStart + 3s)).c_str());
  CHECK(box.Contains("a", kStart + 3s));
  STRCMP_EQUAL("b ", Joined(box.All(kStart + 3001ms)).c_str());
  CHECK_FALSE(box.Contains("a", kStart + 3001ms));
  CHECK(box.Contains("b", kStart + 5s));
  CHECK_FALSE(box.Contains("b", kStart + 5001ms));
}
