#include <algorithm>
#include <chrono>

#include "test/currantshed/group/fake_group.hpp"

#include <CppUTest/TestHarness.h>

using currantshed::group::answer;
using currantshed::group::operation;
using currantshed::group::request;
using currantshed::outcome::reason;
using currantshed::outcome::verdict;
using currantshed::test::fake_group;
using namespace std::chrono_literals;

namespace {

using act = void (*)(fake_group&);

const auto kNothing = [](fake_group&) {};

request
Begin(fake_group& aGroup)
{
  auto result = aGroup.Write("layout");
  result.kind = operation::kBegin;
  return result;
}

request
BeginRead(fake_group& aGroup)
{
  auto result = aGroup.Read(10s);
  result.kind = operation::kBegin;
  return result;
}

std::size_t
CopiesOf(fake_group& aGroup, const std::string& aValue)
{
  const auto values = aGroup.Values();
  return static_cast<std::size_t>(
    std::count(values.begin(), values.end(), aValue));
}

// A transaction with two values, and faults after its begin, before its commit
// and while the commit is in progress.
struct commit_row
{
  const char* name;
  act afterBegin;
  act beforeCommit;
  act duringCommit;
  verdict expectedStatementVerdict;
  verdict expectedVerdict;
  reason why;
  std::size_t copies;
};

const commit_row kCommitRows[] = {
  { "no fault",
    kNothing,
    kNothing,
    kNothing,
    verdict::kDone,
    verdict::kDone,
    reason::kNone,
    1 },
  { "the primary is replaced before the statement",
    [](fake_group& aGroup) {
      aGroup.Promote("s2", { "s2", "s3" });
      aGroup.Run(200ms);
    },
    kNothing,
    kNothing,
    verdict::kNotRun,
    verdict::kNotRun,
    reason::kTransactionLost,
    0 },
  { "the primary is fenced before the commit",
    kNothing,
    [](fake_group& aGroup) { aGroup.Fence("s1", 2); },
    kNothing,
    verdict::kDone,
    verdict::kNotRun,
    reason::kTransactionLost,
    0 },
  { "the transaction is idle for too long",
    kNothing,
    [](fake_group& aGroup) { aGroup.Run(10100ms); },
    kNothing,
    verdict::kDone,
    verdict::kNotRun,
    reason::kTransactionLost,
    0 },
  { "the transaction is open for too long, though used",
    kNothing,
    [](fake_group& aGroup) {
      aGroup.SetTransactionLimit(3000ms);
      aGroup.Run(3000ms);
    },
    kNothing,
    verdict::kDone,
    verdict::kNotRun,
    reason::kTransactionLost,
    0 },
  { "the reply to the commit is torn: resolved as done",
    kNothing,
    [](fake_group& aGroup) { aGroup.Server("s1").tearNextReply = true; },
    kNothing,
    verdict::kDone,
    verdict::kDone,
    reason::kNone,
    1 },
  { "the commit is lost: voided, never sent again",
    kNothing,
    [](fake_group& aGroup) { aGroup.Server("s1").tearNextBatch = true; },
    kNothing,
    verdict::kDone,
    verdict::kNotRun,
    reason::kKeyVoid,
    0 },
  { "the commit stays with the old primary: voided at the next one",
    kNothing,
    [](fake_group& aGroup) { aGroup.Server("s1").isolated = true; },
    [](fake_group& aGroup) {
      aGroup.Promote("s2", { "s2", "s3" });
    },
    verdict::kDone,
    verdict::kNotRun,
    reason::kKeyVoid,
    0 },
  { "the commit isn't confirmed in time",
    kNothing,
    [](fake_group& aGroup) { aGroup.Server("s1").isolated = true; },
    kNothing,
    verdict::kDone,
    verdict::kUnknown,
    reason::kDeadline,
    1 },
  { "the server is marked as leaving: the transaction may end",
    [](fake_group& aGroup) { aGroup.SetLeaving("s1", true); },
    kNothing,
    kNothing,
    verdict::kDone,
    verdict::kDone,
    reason::kNone,
    1 },
  { "the pooler is draining: the transaction may end",
    [](fake_group& aGroup) { aGroup.Engine().Drain(aGroup.Now()); },
    kNothing,
    kNothing,
    verdict::kDone,
    verdict::kDone,
    reason::kNone,
    1 },
};

} // namespace

TEST_GROUP(transactions){};

TEST(transactions, faults_in_progress)
{
  for (const auto& row : kCommitRows) {
    fake_group group;
    group.Run(100ms);
    const auto begun = group.Call(Begin(group));
    CHECK_TEXT(begun.verdict == verdict::kDone, row.name);
    CHECK_TEXT(begun.transaction != 0, row.name);
    row.afterBegin(group);
    const auto executed = group.Call(
      group.In(operation::kStatement, begun.transaction, "add fixture"));
    CHECK_TEXT(executed.verdict == row.expectedStatementVerdict, row.name);
    row.beforeCommit(group);
    const auto id =
      group.Submit(group.In(operation::kCommit, begun.transaction));
    group.Run(10ms);
    row.duringCommit(group);
    const auto* result = group.Wait(id, 2001ms);
    CHECK_TEXT(result != nullptr, row.name);
    CHECK_TEXT(result->verdict == row.expectedVerdict, row.name);
    CHECK_TEXT(result->why == row.why, row.name);
    group.Run(500ms);
    LONGS_EQUAL_TEXT(row.copies, CopiesOf(group, "layout"), row.name);
    LONGS_EQUAL_TEXT(row.copies, CopiesOf(group, "fixture"), row.name);
    LONGS_EQUAL_TEXT(0, group.Engine().Pending(), row.name);
  }
}

// Guards against a draining pooler that keeps the rows of a transaction locked,
// which no caller can reach any more, until its idle timeout of 10 s. Meanwhile
// every write of the group waits until its deadline of 2 s: under load, no
// write was acknowledged for 10 s.
TEST(transactions, an_unused_one_is_abandoned_soon_while_the_pooler_drains)
{
  struct row
  {
    const char* name;
    bool drains;
    std::size_t pending;
  };
  const row rows[] = {
    { "the pooler stays", false, 1 },
    { "the pooler is draining", true, 0 },
  };
  for (const auto& row : rows) {
    fake_group group;
    group.Run(100ms);
    const auto begun = group.Call(Begin(group));
    CHECK_TEXT(begun.verdict == verdict::kDone, row.name);
    if (row.drains) {
      group.Engine().Drain(group.Now());
    }
    group.Run(500ms);
    LONGS_EQUAL_TEXT(1, group.Engine().Pending(), row.name);
    group.Run(1100ms);
    LONGS_EQUAL_TEXT(row.pending, group.Engine().Pending(), row.name);
  }
}

TEST(transactions, a_refused_statement_ends_it)
{
  fake_group group;
  group.Run(100ms);
  const auto begun = group.Call(Begin(group));
  const auto refused =
    group.Call(group.In(operation::kStatement, begun.transaction, "fail"));
  CHECK(refused.verdict == verdict::kRefused);
  CHECK(refused.why == reason::kStatement);
  CHECK(refused.sqlState == "22012");
  const auto later =
    group.Call(group.In(operation::kCommit, begun.transaction));
  CHECK(later.verdict == verdict::kNotRun);
  CHECK(later.why == reason::kTransactionLost);
  LONGS_EQUAL(0, CopiesOf(group, "layout"));
}

TEST(transactions, a_refused_first_statement_opens_none)
{
  fake_group group;
  group.Run(100ms);
  auto begin = Begin(group);
  begin.statements.push_back({ "fail", {} });
  const auto refused = group.Call(begin);
  CHECK(refused.why == reason::kStatement);
  LONGS_EQUAL(0, refused.transaction);
  LONGS_EQUAL(0, group.Engine().Pending());
}

TEST(transactions, it_takes_one_request_at_a_time)
{
  fake_group group;
  group.Run(100ms);
  const auto begun = group.Call(Begin(group));
  const auto first =
    group.Submit(group.In(operation::kStatement, begun.transaction, "add a"));
  const auto second =
    group.Submit(group.In(operation::kStatement, begun.transaction, "add b"));
  CHECK(group.Answer(second) != nullptr);
  CHECK(group.Answer(second)->why == reason::kMalformed);
  CHECK(group.Wait(first, 100ms)->verdict == verdict::kDone);
}

TEST(transactions, a_rollback_drops_its_changes)
{
  fake_group group;
  group.Run(100ms);
  const auto begun = group.Call(Begin(group));
  const auto result =
    group.Call(group.In(operation::kRollback, begun.transaction));
  CHECK(result.verdict == verdict::kDone);
  LONGS_EQUAL(0, CopiesOf(group, "layout"));
  LONGS_EQUAL(0, group.Engine().Pending());
}

TEST(transactions, statements_of_two_are_not_mixed)
{
  fake_group group;
  group.Run(100ms);
  const auto first = group.Call(Begin(group));
  auto other = Begin(group);
  other.statements = { { "add quote", {} } };
  const auto second = group.Call(other);
  CHECK(first.transaction != second.transaction);
  const auto seen =
    group.Call(group.In(operation::kStatement, second.transaction, "list"));
  LONGS_EQUAL(1, seen.results[0].cells.size());
  CHECK(seen.results[0].cells[0] == "quote");
  static_cast<void>(
    group.Call(group.In(operation::kRollback, first.transaction)));
  const auto result =
    group.Call(group.In(operation::kCommit, second.transaction));
  CHECK(result.verdict == verdict::kDone);
  LONGS_EQUAL(1, CopiesOf(group, "quote"));
  LONGS_EQUAL(0, CopiesOf(group, "layout"));
}

TEST(transactions, a_commit_again_under_its_key_is_done_once)
{
  fake_group group;
  group.Run(100ms);
  const auto first = group.Call(Begin(group));
  auto commit = group.In(operation::kCommit, first.transaction);
  CHECK(group.Call(commit).verdict == verdict::kDone);
  const auto second = group.Call(Begin(group));
  commit.transaction = second.transaction;
  const auto result = group.Call(commit);
  CHECK(result.verdict == verdict::kDone);
  CHECK(result.repeated);
  LONGS_EQUAL(1, CopiesOf(group, "layout"));
}

TEST(transactions, a_read_only_one_sees_one_state)
{
  fake_group group;
  group.Run(100ms);
  const auto written = group.Call(group.Write("early"));
  auto begin = BeginRead(group);
  begin.floor = written.position;
  const auto begun = group.Call(begin);
  CHECK(begun.verdict == verdict::kDone);
  CHECK(begun.byReplica);
  CHECK(begun.position >= written.position);
  static_cast<void>(group.Call(group.Write("late")));
  group.Run(50ms);
  const auto seen =
    group.Call(group.In(operation::kStatement, begun.transaction, "list"));
  CHECK(seen.verdict == verdict::kDone);
  LONGS_EQUAL(1, seen.results[0].cells.size());
  const auto ended =
    group.Call(group.In(operation::kCommit, begun.transaction));
  CHECK(ended.verdict == verdict::kDone);
  LONGS_EQUAL(0, group.Engine().Pending());
}

TEST(transactions, a_read_only_one_goes_on_while_the_primary_is_replaced)
{
  fake_group group;
  group.Run(100ms);
  const auto begun = group.Call(BeginRead(group));
  const auto* const next = begun.servedBy == "s2" ? "s3" : "s2";
  group.Server("s1").cut = true;
  group.Promote(next, { "s2", "s3" });
  group.Run(300ms);
  const auto seen =
    group.Call(group.In(operation::kStatement, begun.transaction, "list"));
  CHECK(seen.verdict == verdict::kDone);
}

TEST(transactions, open_ones_leave_connections_to_others)
{
  // Four of the sixteen connections are available to this pooler.
  fake_group group;
  group.Run(100ms);
  for (int i = 0; i < 4; ++i) {
    static_cast<void>(group.Submit(Begin(group)));
  }
  group.Run(200ms);
  const auto result = group.Call(group.Write("report"));
  CHECK(result.verdict == verdict::kDone);
  CHECK(group.Server("s1").maxConnections <= 4);
}
