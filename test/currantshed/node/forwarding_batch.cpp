#include "currantshed/node/forwarding_batch.hpp"

#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using node::forwarded_reach_update;
using node::forwarding_batch;

namespace {

const clock::time_point kStart{ 1h };
constexpr auto kPause = 150ms;

struct word
{
  std::chrono::milliseconds at;
  std::string service;
  bool isUrgent = false;
};

struct word_row
{
  const char* name;
  std::vector<word> given;
  /// What is passed on, a line each time, if it is looked at every 10 ms.
  std::string expected;
};

const word_row kWords[] = {
  { "nothing", {}, "" },
  { "the first word at once", { { 0ms, "a" } }, "0:a " },
  { "words of several groups together",
    { { 0ms, "a" }, { 20ms, "b" }, { 50ms, "c" }, { 140ms, "b" } },
    "0:a 150:bc " },
  { "a word after a long pause at once",
    { { 0ms, "a" }, { 400ms, "b" } },
    "0:a 400:b " },
  { "an urgent word takes the others along",
    { { 0ms, "a" }, { 20ms, "b" }, { 40ms, "c", true } },
    "0:a 40:bc " },
  { "after an urgent word the others wait again",
    { { 0ms, "a" }, { 40ms, "c", true }, { 50ms, "b" } },
    "0:a 40:c 190:b " },
};

std::string
PassedOn(const word_row& aRow)
{
  forwarding_batch box;
  std::string text;
  for (auto at = 0ms; at <= 600ms; at += 10ms) {
    for (const auto& one : aRow.given) {
      if (one.at == at) {
        box.AddGroup(one.service, one.isUrgent, kStart + at);
      }
    }
    const auto taken = box.TakeGroups(kPause, kStart + at);
    if (!taken.empty()) {
      text += std::to_string(at.count()) + ":";
      for (const auto& service : taken) {
        text += service;
      }
      text += " ";
    }
  }
  return text;
}

struct reach
{
  std::chrono::milliseconds at;
  std::string service;
  std::string vm;
  std::chrono::milliseconds heardAt;
  position::term_id term = 1;
  position::term_id obeyed = 0;
};

struct reach_row
{
  const char* name;
  std::vector<reach> given;
  std::string expected;
};

const reach_row kReaches[] = {
  { "nothing", {}, "" },
  { "one", { { 0ms, "a", "v", 0ms } }, "250:av " },
  { "the freshest of each group",
    { { 0ms, "a", "v", 0ms },
      { 10ms, "a", "w", 5ms },
      { 20ms, "a", "x", 3ms },
      { 20ms, "b", "x", 1ms } },
    "250:awbx " },
  { "the newest term before the freshest",
    { { 0ms, "a", "v", 0ms, 2 }, { 10ms, "a", "w", 5ms, 1 } },
    "250:av " },
  { "all that gave a term up, soon",
    { { 0ms, "a", "v", 0ms },
      { 10ms, "a", "w", 5ms, 1, 1 },
      { 20ms, "a", "x", 3ms, 1, 1 } },
    "30:awax " },
  { "a VM's last word",
    { { 0ms, "a", "w", 1ms, 1, 1 }, { 10ms, "a", "w", 5ms, 1, 1 } },
    "20:aw " },
};

std::string
PassedOn(const reach_row& aRow)
{
  forwarding_batch box;
  std::string text;
  for (auto at = 0ms; at <= 600ms; at += 10ms) {
    for (const auto& one : aRow.given) {
      if (one.at == at) {
        box.AddReachUpdate({ one.service,
                             one.vm,
                             { one.term,
                               "i-1",
                               kStart + one.heardAt,
                               one.obeyed,
                               kStart + one.at } },
                           kStart + at);
      }
    }
    const auto taken = box.TakeReachUpdates(kStart + at);
    if (!taken.empty()) {
      text += std::to_string(at.count()) + ":";
      for (const auto& passed : taken) {
        text += passed.service + passed.vm;
      }
      text += " ";
    }
  }
  return text;
}

} // namespace

TEST_GROUP(forwarding_batch){};

TEST(forwarding_batch, batches_watch_updates)
{
  for (const auto& row : kWords) {
    STRCMP_EQUAL_TEXT(row.expected.c_str(), PassedOn(row).c_str(), row.name);
  }
}

TEST(forwarding_batch, batches_reach_updates)
{
  for (const auto& row : kReaches) {
    STRCMP_EQUAL_TEXT(row.expected.c_str(), PassedOn(row).c_str(), row.name);
  }
}

TEST(forwarding_batch, says_when_it_is_due)
{
  forwarding_batch box;
  CHECK(box.NextTick() == clock::time_point::max());
  box.AddGroup("a", false, kStart);
  CHECK(box.NextTick() <= kStart);
  CHECK_EQUAL(1U, box.TakeGroups(kPause, kStart).size());
  box.AddGroup("a", false, kStart + 10ms);
  CHECK(box.TakeGroups(kPause, kStart + 10ms).empty());
  CHECK(box.NextTick() == kStart + kPause);
  CHECK_EQUAL(1U, box.TakeGroups(kPause, kStart + kPause).size());
  box.AddReachUpdate({ "a", "v", {} }, kStart + kPause);
  CHECK(box.NextTick() == kStart + kPause + 250ms);
}
