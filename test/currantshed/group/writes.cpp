#include <algorithm>
#include <chrono>

#include "test/currantshed/group/fake_group.hpp"

#include <CppUTest/TestHarness.h>

using currantshed::group::answer;
using currantshed::group::request;
using currantshed::outcome::reason;
using currantshed::outcome::verdict;
using currantshed::test::fake_group;
using namespace std::chrono_literals;

namespace {

using act = void (*)(fake_group&);

const auto kNothing = [](fake_group&) {};

std::size_t
CopiesOf(fake_group& aGroup, const std::string& aValue)
{
  const auto values = aGroup.Values();
  return static_cast<std::size_t>(
    std::count(values.begin(), values.end(), aValue));
}

// A write with faults injected before it is sent and while it is in progress;
// the expected answer, and what the group holds some time later.
struct write_row
{
  const char* name;
  bool repeatable;
  act before;
  act during;
  verdict expectedVerdict;
  reason why;
  bool repeated;
  std::size_t copies;
};

const auto kTearReply = [](fake_group& aGroup) {
  aGroup.Server("s1").tearNextReply = true;
};
const auto kTearBatch = [](fake_group& aGroup) {
  aGroup.Server("s1").tearNextBatch = true;
};
const auto kFailover = [](fake_group& aGroup) {
  aGroup.Promote("s2", { "s2", "s3" });
};

const write_row kWriteRows[] = {
  { "no fault",
    false,
    kNothing,
    kNothing,
    verdict::kDone,
    reason::kNone,
    false,
    1 },
  { "one replica is cut off",
    false,
    [](fake_group& aGroup) { aGroup.Server("s3").cut = true; },
    kNothing,
    verdict::kDone,
    reason::kNone,
    false,
    1 },
  { "reply torn after the commit, not repeatable: resolved as done",
    false,
    kTearReply,
    kNothing,
    verdict::kDone,
    reason::kNone,
    true,
    1 },
  { "reply torn after the commit, repeatable: done once",
    true,
    kTearReply,
    kNothing,
    verdict::kDone,
    reason::kNone,
    true,
    1 },
  { "batch lost, not repeatable: voided",
    false,
    kTearBatch,
    kNothing,
    verdict::kNotRun,
    reason::kKeyVoid,
    false,
    0 },
  { "batch lost, repeatable: sent again",
    true,
    kTearBatch,
    kNothing,
    verdict::kDone,
    reason::kNone,
    false,
    1 },
  { "no recent status of a majority",
    false,
    [](fake_group& aGroup) {
      aGroup.Server("s2").cut = true;
      aGroup.Server("s3").cut = true;
      aGroup.Run(300ms);
    },
    kNothing,
    verdict::kNotRun,
    reason::kNoPrimary,
    false,
    0 },
  { "primary does not answer",
    false,
    [](fake_group& aGroup) {
      aGroup.Server("s1").cut = true;
      aGroup.Run(300ms);
    },
    kNothing,
    verdict::kNotRun,
    reason::kNoPrimary,
    false,
    0 },
  { "committed but stored by no other server: not reported as done",
    false,
    [](fake_group& aGroup) { aGroup.Server("s1").isolated = true; },
    kNothing,
    verdict::kUnknown,
    reason::kDeadline,
    false,
    1 },
  { "committed by a primary that is then replaced: voided at the next one",
    false,
    [](fake_group& aGroup) { aGroup.Server("s1").isolated = true; },
    kFailover,
    verdict::kNotRun,
    reason::kKeyVoid,
    false,
    0 },
  { "the same, repeatable: done at the next primary",
    true,
    [](fake_group& aGroup) { aGroup.Server("s1").isolated = true; },
    kFailover,
    verdict::kDone,
    reason::kNone,
    false,
    1 },
  { "primary frozen while it runs, then replaced: voided at the next one",
    false,
    [](fake_group& aGroup) { aGroup.Server("s1").frozen = true; },
    kFailover,
    verdict::kNotRun,
    reason::kKeyVoid,
    false,
    0 },
  { "primary frozen and not replaced",
    false,
    [](fake_group& aGroup) { aGroup.Server("s1").frozen = true; },
    kNothing,
    verdict::kUnknown,
    reason::kDeadline,
    false,
    0 },
  { "answer too large: still resolved as done",
    false,
    [](fake_group& aGroup) {
      aGroup.Server("s1").tearNextReply = true;
      aGroup.Server("s1").oversize = true;
    },
    kNothing,
    verdict::kDone,
    reason::kNone,
    true,
    1 },
  { "primary marked as leaving",
    false,
    [](fake_group& aGroup) { aGroup.SetLeaving("s1", true); },
    kNothing,
    verdict::kNotRun,
    reason::kNoPrimary,
    false,
    0 },
};

// A write that is invalid, or whose key was used before.
struct refusal_row
{
  const char* name;
  void (*change)(fake_group&, request&);
  verdict expectedVerdict;
  reason why;
  bool repeated;
};

const refusal_row kRefusalRows[] = {
  { "a statement fails",
    [](fake_group&, request& aRequest) {
      aRequest.statements.push_back({ "fail", {} });
    },
    verdict::kRefused,
    reason::kStatement,
    false },
  { "no key",
    [](fake_group&, request& aRequest) { aRequest.key = {}; },
    verdict::kRefused,
    reason::kMalformed,
    false },
  { "no statement",
    [](fake_group&, request& aRequest) { aRequest.statements.clear(); },
    verdict::kRefused,
    reason::kMalformed,
    false },
  { "a read-only class of work",
    [](fake_group&, request& aRequest) {
      aRequest.work.kind = currantshed::policy::access::kRead;
    },
    verdict::kRefused,
    reason::kMalformed,
    false },
  { "a statement that ends the transaction",
    [](fake_group&, request& aRequest) {
      aRequest.statements.push_back({ " /* x */ commit", {} });
    },
    verdict::kRefused,
    reason::kMalformed,
    false },
  { "a key older than the retention of outcomes",
    [](fake_group& aGroup, request& aRequest) {
      aRequest.key = currantshed::outcome::idempotency_key::Make(
        aGroup.WallNow() - 25h, 1, 1);
    },
    verdict::kRefused,
    reason::kKeyExpired,
    false },
  { "a key from the future",
    [](fake_group& aGroup, request& aRequest) {
      aRequest.key = currantshed::outcome::idempotency_key::Make(
        aGroup.WallNow() + 2min, 1, 1);
    },
    verdict::kRefused,
    reason::kKeyExpired,
    false },
  { "a key used for another request",
    [](fake_group& aGroup, request& aRequest) {
      auto other = aGroup.Write("other");
      other.key = aRequest.key;
      static_cast<void>(aGroup.Call(other));
    },
    verdict::kRefused,
    reason::kKeyReused,
    false },
  { "a key that was voided",
    [](fake_group& aGroup, request& aRequest) {
      auto resolve = aGroup.Write("other");
      resolve.kind = currantshed::group::operation::kResolve;
      resolve.key = aRequest.key;
      static_cast<void>(aGroup.Call(resolve));
    },
    verdict::kNotRun,
    reason::kKeyVoid,
    false },
  { "the same request again",
    [](fake_group& aGroup, request& aRequest) {
      static_cast<void>(aGroup.Call(aRequest));
    },
    verdict::kDone,
    reason::kNone,
    true },
  { "no failure domain that may serve it",
    [](fake_group&, request& aRequest) {
      aRequest.work.servedIn = { "elsewhere" };
    },
    verdict::kNotRun,
    reason::kNoEligibleServer,
    false },
  { "a deadline in the past",
    [](fake_group& aGroup, request& aRequest) {
      aRequest.deadline = aGroup.Now();
    },
    verdict::kNotRun,
    reason::kDeadline,
    false },
};

} // namespace

TEST_GROUP(writes){};

TEST(writes, faults_in_progress)
{
  for (const auto& row : kWriteRows) {
    fake_group group;
    group.Run(100ms);
    row.before(group);
    const auto id = group.Submit(group.Write("report", row.repeatable));
    group.Run(10ms);
    row.during(group);
    const auto* result = group.Wait(id, 2001ms);
    CHECK_TEXT(result != nullptr, row.name);
    CHECK_TEXT(result->verdict == row.expectedVerdict, row.name);
    CHECK_TEXT(result->why == row.why, row.name);
    CHECK_TEXT(result->repeated == row.repeated, row.name);
    const auto isRetriable = result->verdict == verdict::kNotRun;
    CHECK_TEXT(isRetriable == (result->retryAfter > 0ms), row.name);
    group.Run(500ms);
    LONGS_EQUAL_TEXT(row.copies, CopiesOf(group, "report"), row.name);
  }
}

TEST(writes, refusals_and_repeats)
{
  for (const auto& row : kRefusalRows) {
    fake_group group;
    group.Run(100ms);
    auto write = group.Write("report");
    row.change(group, write);
    const auto result = group.Call(write);
    CHECK_TEXT(result.verdict == row.expectedVerdict, row.name);
    CHECK_TEXT(result.why == row.why, row.name);
    CHECK_TEXT(result.repeated == row.repeated, row.name);
    LONGS_EQUAL_TEXT(row.repeated ? 1 : 0, CopiesOf(group, "report"), row.name);
  }
}

TEST(writes, a_late_first_attempt_cannot_run_after_its_void)
{
  // The first attempt waits inside the frozen primary, whose answer counts as
  // lost; once it is thawed, the key decides.
  fake_group group;
  group.Run(100ms);
  group.Server("s1").frozen = true;
  const auto id = group.Submit(group.Write("report"));
  group.Run(10ms);
  group.Promote("s2", { "s2", "s3" });
  const auto* result = group.Wait(id, 2001ms);
  CHECK(result->verdict == verdict::kNotRun);
  group.Thaw("s1");
  group.Run(500ms);
  LONGS_EQUAL(0, CopiesOf(group, "report"));
}

TEST(writes,
     a_refused_statement_after_an_unknown_outcome_is_decided_by_the_void)
{
  // The first attempt may still run, so the refusal of the second one is no
  // evidence.
  fake_group group;
  group.Run(100ms);
  group.Server("s1").tearNextBatch = true;
  auto write = group.Write("report", true);
  write.statements.push_back({ "fail", {} });
  const auto result = group.Call(write);
  CHECK(result.verdict == verdict::kRefused);
  CHECK(result.why == reason::kStatement);
  auto again = group.Write("report", true);
  again.key = write.key;
  CHECK(group.Call(again).why == reason::kKeyVoid);
}

TEST(writes, a_failover_is_waited_for)
{
  fake_group group;
  group.Run(100ms);
  group.Server("s1").cut = true;
  group.Run(300ms);
  const auto id = group.Submit(group.Write("report"));
  group.Run(600ms);
  CHECK(group.Answer(id) == nullptr);
  group.Promote("s2", { "s2", "s3" });
  const auto* result = group.Wait(id, 100ms);
  CHECK(result != nullptr);
  CHECK(result->verdict == verdict::kDone);
}

TEST(writes, a_long_outage_is_not_waited_for)
{
  fake_group group;
  group.Run(100ms);
  group.Server("s1").cut = true;
  group.Run(3000ms);
  const auto id = group.Submit(group.Write("report"));
  const auto* result = group.Wait(id, 220ms);
  CHECK(result != nullptr);
  CHECK(result->verdict == verdict::kNotRun);
  CHECK(result->why == reason::kNoPrimary);
}
