#include <chrono>

#include "test/currantshed/group/fake_group.hpp"

#include <CppUTest/TestHarness.h>

using currantshed::group::operation;
using currantshed::outcome::verdict;
using currantshed::test::fake_group;
using namespace std::chrono_literals;

namespace {

struct full_row
{
  const char* name;
  operation kind;
  const char* sql;
};

// Requests that end an open transaction or bring it closer to its end.
const full_row kFullRows[] = {
  { "statement", operation::kStatement, "add line" },
  { "commit", operation::kCommit, "" },
  { "rollback", operation::kRollback, "" },
};

} // namespace

TEST_GROUP(pinned_transactions){};

// The batches that occupy the slots may wait in the server for this
// transaction.
TEST(pinned_transactions, go_on_while_all_slots_are_taken)
{
  for (const auto& row : kFullRows) {
    fake_group group;
    group.Run(100ms);
    auto begin = group.Write("plan");
    begin.kind = operation::kBegin;
    const auto begun = group.Call(begin);
    CHECK_TEXT(begun.verdict == verdict::kDone, row.name);
    auto next = group.In(row.kind, begun.transaction, row.sql);
    next.key = begin.key;
    // Opens enough connections beforehand.
    for (const char* const value : { "a", "b", "c", "d" }) {
      group.Submit(group.Write(value));
    }
    group.Run(200ms);
    group.batchTime = 800ms;
    group.Submit(group.Write("one"));
    group.Submit(group.Write("other"));
    group.Run(20ms);
    UNSIGNED_LONGS_EQUAL_TEXT(2, group.Server("s1").running, row.name);
    const auto sent = group.Submit(next);
    group.Run(20ms);
    UNSIGNED_LONGS_EQUAL_TEXT(3, group.Server("s1").running, row.name);
    const auto* const ended = group.Wait(sent, 1000ms);
    CHECK_TEXT(ended != nullptr, row.name);
    CHECK_TEXT(ended->verdict == verdict::kDone, row.name);
  }
}
