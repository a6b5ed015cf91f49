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

struct group_update
{
  std::chrono::milliseconds at;
  std::string service;
  bool isUrgent = false;
};

struct group_row
{
  const char* name;
  std::vector<group_update> given;
  /// What is forwarded if the batch is polled every 10 ms: time and groups.
  std::string expected;
};

const group_row kGroupRows[] = {
  { "nothing", {}, "" },
  { "the first update at once", { { 0ms, "a" } }, "0:a " },
  { "updates of several groups together",
    { { 0ms, "a" }, { 20ms, "b" }, { 50ms, "c" }, { 140ms, "b" } },
    "0:a 150:bc " },
  { "an update after a long pause at once",
    { { 0ms, "a" }, { 400ms, "b" } },
    "0:a 400:b " },
  { "an urgent update is sent with the others",
    { { 0ms, "a" }, { 20ms, "b" }, { 40ms, "c", true } },
    "0:a 40:bc " },
  { "after an urgent update the others wait again",
    { { 0ms, "a" }, { 40ms, "c", true }, { 50ms, "b" } },
    "0:a 40:c 190:b " },
};

std::string
Forwarded(const group_row& aRow)
{
  forwarding_batch batch;
  std::string text;
  for (auto at = 0ms; at <= 600ms; at += 10ms) {
    for (const auto& one : aRow.given) {
      if (one.at == at) {
        batch.AddGroup(one.service, one.isUrgent, kStart + at);
      }
    }
    const auto taken = batch.TakeGroups(kPause, kStart + at);
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

struct received_update
{
  std::chrono::milliseconds at;
  std::string service;
  std::string vm;
  std::chrono::milliseconds heardAt;
  position::term_id term = 1;
  position::term_id acknowledged = 0;
};

struct reach_row
{
  const char* name;
  std::vector<received_update> given;
  std::string expected;
};

const reach_row kReachRows[] = {
  { "nothing", {}, "" },
  { "one", { { 0ms, "a", "v", 0ms } }, "250:av " },
  { "the most recent of each group",
    { { 0ms, "a", "v", 0ms },
      { 10ms, "a", "w", 5ms },
      { 20ms, "a", "x", 3ms },
      { 20ms, "b", "x", 1ms } },
    "250:awbx " },
  { "the newest term takes precedence over the most recent contact",
    { { 0ms, "a", "v", 0ms, 2 }, { 10ms, "a", "w", 5ms, 1 } },
    "250:av " },
  { "all acknowledgements, soon",
    { { 0ms, "a", "v", 0ms },
      { 10ms, "a", "w", 5ms, 1, 1 },
      { 20ms, "a", "x", 3ms, 1, 1 } },
    "30:awax " },
  { "the last update of a VM",
    { { 0ms, "a", "w", 1ms, 1, 1 }, { 10ms, "a", "w", 5ms, 1, 1 } },
    "20:aw " },
};

std::string
Forwarded(const reach_row& aRow)
{
  forwarding_batch batch;
  std::string text;
  for (auto at = 0ms; at <= 600ms; at += 10ms) {
    for (const auto& one : aRow.given) {
      if (one.at == at) {
        batch.AddReachUpdate({ one.service,
                               one.vm,
                               { one.term,
                                 "i-1",
                                 kStart + one.heardAt,
                                 one.acknowledged,
                                 kStart + one.at } },
                             kStart + at);
      }
    }
    const auto taken = batch.TakeReachUpdates(kStart + at);
    if (!taken.empty()) {
      text += std::to_string(at.count()) + ":";
      for (const auto& update : taken) {
        text += update.service + update.vm;
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
  for (const auto& row : kGroupRows) {
    STRCMP_EQUAL_TEXT(row.expected.c_str(), Forwarded(row).c_str(), row.name);
  }
}

TEST(forwarding_batch, batches_reach_updates)
{
  for (const auto& row : kReachRows) {
    STRCMP_EQUAL_TEXT(row.expected.c_str(), Forwarded(row).c_str(), row.name);
  }
}

TEST(forwarding_batch, says_when_it_is_due)
{
  forwarding_batch batch;
  CHECK(batch.NextTick() == clock::time_point::max());
  batch.AddGroup("a", false, kStart);
  CHECK(batch.NextTick() <= kStart);
  CHECK_EQUAL(1U, batch.TakeGroups(kPause, kStart).size());
  batch.AddGroup("a", false, kStart + 10ms);
  CHECK(batch.TakeGroups(kPause, kStart + 10ms).empty());
  CHECK(batch.NextTick() == kStart + kPause);
  CHECK_EQUAL(1U, batch.TakeGroups(kPause, kStart + kPause).size());
  batch.AddReachUpdate({ "a", "v", {} }, kStart + kPause);
  CHECK(batch.NextTick() == kStart + kPause + 250ms);
}
