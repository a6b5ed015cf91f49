#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "test/currantshed/gateway/engine_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace currantshed::gateway::test;
using currantshed::clock::time_point;
using currantshed::gateway::call_kind;
using currantshed::outcome::reason;
using currantshed::outcome::verdict;

namespace {

enum class event_kind
{
  kReply,
  kAdvance,
  kLost,
  kNotSent,
  kGone,
};

struct event
{
  event_kind kind;
  verdict given = verdict::kDone;
  reason why = reason::kNone;
  std::chrono::milliseconds time{ 0 };
};

event
Replies(verdict aVerdict, reason aWhy = reason::kNone)
{
  return { event_kind::kReply, aVerdict, aWhy };
}

event
TimePasses(std::chrono::milliseconds aTime)
{
  return { event_kind::kAdvance, {}, {}, aTime };
}

const event kLost{ event_kind::kLost };
const event kNotSent{ event_kind::kNotSent };
/// The pooler's VM is removed from the view.
const event kGone{ event_kind::kGone };
const event kDone = Replies(verdict::kDone);
const event kVoid = Replies(verdict::kNotRun, reason::kKeyVoid);

void
ApplyEvent(engine_fixture& aFixture, const event& aEvent)
{
  const std::string vm = aFixture.sent.vm;
  switch (aEvent.kind) {
    case event_kind::kReply:
      aFixture.Reply(Answer(aEvent.given, aEvent.why));
      return;
    case event_kind::kAdvance:
      aFixture.Advance(aEvent.time);
      return;
    case event_kind::kLost:
      aFixture.Engine().PoolerLost(vm, aFixture.now);
      break;
    case event_kind::kNotSent:
      aFixture.Engine().NotSent(aFixture.sent.request.id, aFixture.now);
      break;
    case event_kind::kGone: {
      auto seen = SampleView();
      std::erase_if(seen.live, [&vm](const auto& aVm) { return aVm.id == vm; });
      aFixture.Engine().ViewChanged(seen, aFixture.now);
      break;
    }
  }
  aFixture.CollectActions();
}

struct failure_row
{
  const char* name;
  const char* workClass;
  std::vector<event> events;
  const char* log;
  reason why = reason::kNone;
};

const failure_row kFailures[] = {
  { "read answered", "lookup", { kDone }, "read@0 done" },
  { "write answered", "report", { kDone }, "write@0 done" },
  { "write acknowledged at the end of the validity",
    "report",
    { TimePasses(200ms), kDone },
    "write@0 done" },
  { "write answered after the validity is reconfirmed",
    "report",
    { TimePasses(201ms), kDone, kDone },
    "write@0 reconfirm@0 done" },
  { "late reconfirmation is repeated",
    "report",
    { TimePasses(201ms), kDone, TimePasses(201ms), kDone, kDone },
    "write@0 reconfirm@0 reconfirm@0 done" },
  { "position of a past term is resolved by the key",
    "report",
    { TimePasses(201ms),
      kDone,
      Replies(verdict::kNotRun, reason::kNoPrimary),
      TimePasses(50ms),
      kDone },
    "write@0 reconfirm@0 resolve@0 done" },
  { "reconfirmation lost is resolved by the key",
    "report",
    { TimePasses(201ms), kDone, kLost, kDone },
    "write@0 reconfirm@0 cancel@0 resolve@1 done" },
  { "unsent reconfirmation is retried at the next owner",
    "report",
    { TimePasses(201ms), kDone, kNotSent, kDone },
    "write@0 reconfirm@0 reconfirm@1 done" },
  { "reconfirmation unanswered at the deadline is unknown",
    "report",
    { TimePasses(201ms), kDone, TimePasses(1800ms) },
    "write@0 reconfirm@0 cancel@0 unknown",
    reason::kDeadline },
  { "read answered late needs no reconfirmation",
    "lookup",
    { TimePasses(400ms), kDone },
    "read@0 done" },
  { "read is retried at the next owner",
    "lookup",
    { kLost, kDone },
    "read@0 cancel@0 read@1 done" },
  { "read is retried up to the last owner",
    "lookup",
    { kLost, kLost, kDone },
    "read@0 cancel@0 read@1 cancel@1 read@2 done" },
  { "lost read is never reported as not run",
    "lookup",
    { kLost, Replies(verdict::kNotRun, reason::kOverloaded) },
    "read@0 cancel@0 read@1 unknown",
    reason::kOverloaded },
  { "read is retried after a reply timeout",
    "lookup",
    { TimePasses(499ms), TimePasses(1ms), kDone },
    "read@0 cancel@0 read@1 done" },
  { "lost write is resolved: done",
    "report",
    { kLost, kDone },
    "write@0 cancel@0 resolve@1 done" },
  { "lost write is resolved: void",
    "report",
    { kLost, kVoid },
    "write@0 cancel@0 resolve@1 not_run",
    reason::kKeyVoid },
  { "lost write is resolved too late, and confirmed again",
    "report",
    { kLost, TimePasses(201ms), kDone, kDone },
    "write@0 cancel@0 resolve@1 reconfirm@1 done" },
  { "lost write that no owner can resolve is unknown at the deadline",
    "report",
    { kLost, kLost, kLost, TimePasses(2000ms) },
    "write@0 cancel@0 resolve@1 cancel@1 resolve@2 cancel@2 unknown",
    reason::kDeadline },
  { "resolution tries all owners in turn until one answers",
    "report",
    { kLost, kLost, kLost, TimePasses(50ms), kDone },
    "write@0 cancel@0 resolve@1 cancel@1 resolve@2 cancel@2 resolve@0 done" },
  { "rejected resolution is retried",
    "report",
    { kLost,
      Replies(verdict::kNotRun, reason::kNoPrimary),
      TimePasses(50ms),
      kDone },
    "write@0 cancel@0 resolve@1 resolve@1 done" },
  { "refusal to resolve at all leaves it unknown",
    "report",
    { kLost, Replies(verdict::kRefused, reason::kKeyExpired) },
    "write@0 cancel@0 resolve@1 unknown",
    reason::kKeyExpired },
  { "repeatable write is sent again with its key",
    "draft",
    { kLost, kDone },
    "write@0 cancel@0 write@1 done" },
  { "repeatable write of unknown outcome isn't reported as not run",
    "draft",
    { kLost, Replies(verdict::kNotRun, reason::kOverloaded), kVoid },
    "write@0 cancel@0 write@1 resolve@1 not_run",
    reason::kKeyVoid },
  { "write is resolved after a reply timeout",
    "report",
    { TimePasses(999ms), TimePasses(1ms), kDone },
    "write@0 cancel@0 resolve@1 done" },
  { "VM removed from the view is lost at once",
    "report",
    { kGone, kVoid },
    "write@0 cancel@0 resolve@1 not_run",
    reason::kKeyVoid },
  { "unsent read is retried at the next owner",
    "lookup",
    { kNotSent, kDone },
    "read@0 read@1 done" },
  { "unsent write may be sent to the next owner",
    "report",
    { kNotSent, kDone },
    "write@0 write@1 done" },
  { "write that no owner takes was not run",
    "report",
    { kNotSent, kNotSent, kNotSent },
    "write@0 write@1 write@2 not_run",
    reason::kUnreachable },
  { "leaving pooler's refusal is tried at the next owner",
    "report",
    { Replies(verdict::kNotRun, reason::kLeaving), kDone },
    "write@0 write@1 done" },
  { "pooler that reaches no primary is skipped",
    "report",
    { Replies(verdict::kNotRun, reason::kNoPrimary), kDone },
    "write@0 write@1 done" },
  { "no owner reaches a primary",
    "report",
    { Replies(verdict::kNotRun, reason::kNoPrimary),
      Replies(verdict::kNotRun, reason::kNoPrimary),
      Replies(verdict::kNotRun, reason::kNoPrimary) },
    "write@0 write@1 write@2 not_run",
    reason::kNoPrimary },
  { "other refusals are passed on",
    "report",
    { Replies(verdict::kNotRun, reason::kOverloaded) },
    "write@0 not_run",
    reason::kOverloaded },
  { "unknown outcome of the pooler is resolved before the deadline",
    "report",
    { Replies(verdict::kUnknown, reason::kDeadline), kVoid },
    "write@0 resolve@0 not_run",
    reason::kKeyVoid },
  { "unknown outcome at the deadline is reported",
    "report",
    { TimePasses(990ms),
      kLost,
      TimePasses(995ms),
      Replies(verdict::kUnknown, reason::kDeadline) },
    "write@0 cancel@0 resolve@1 unknown",
    reason::kDeadline },
  { "sent write at its deadline is unknown",
    "report",
    { TimePasses(2000ms) },
    "write@0 cancel@0 unknown",
    reason::kDeadline },
  { "sent read at its deadline is unknown",
    "lookup",
    { TimePasses(2000ms) },
    "read@0 cancel@0 unknown",
    reason::kDeadline },
  { "statement refused by the database",
    "report",
    { Replies(verdict::kRefused, reason::kStatement) },
    "write@0 refused",
    reason::kStatement },
};

struct bound_row
{
  const char* name;
  call_kind kind;
  std::vector<event> events;
  const char* log;
  reason why = reason::kNone;
};

/// The pooler of the transaction is the group's second owner.
const bound_row kBoundFates[] = {
  { "statement", call_kind::kStatement, { kDone }, "statement@1 done" },
  { "commit", call_kind::kCommit, { kDone }, "commit@1 done" },
  { "rollback", call_kind::kRollback, { kDone }, "rollback@1 done" },
  { "commit answered after the validity",
    call_kind::kCommit,
    { TimePasses(201ms), kDone, kDone },
    "commit@1 reconfirm@0 done" },
  { "statement lost is unknown and never sent again",
    call_kind::kStatement,
    { kLost },
    "statement@1 cancel@1 unknown",
    reason::kTransactionLost },
  { "statement not sent has not run",
    call_kind::kStatement,
    { kNotSent },
    "statement@1 not_run",
    reason::kUnreachable },
  { "commit lost is resolved",
    call_kind::kCommit,
    { kLost, kDone },
    "commit@1 cancel@1 resolve@0 done" },
  { "commit of an unknown transaction is resolved",
    call_kind::kCommit,
    { Replies(verdict::kNotRun, reason::kTransactionLost), kVoid },
    "commit@1 resolve@0 not_run",
    reason::kKeyVoid },
  { "commit not sent is resolved, as an earlier one may have run",
    call_kind::kCommit,
    { kNotSent, kDone },
    "commit@1 resolve@0 done" },
  { "rollback lost is unknown",
    call_kind::kRollback,
    { kLost },
    "rollback@1 cancel@1 unknown",
    reason::kTransactionLost },
};

struct outcome_row
{
  const char* name;
  event reply;
  const char* log;
};

const outcome_row kOutcomes[] = {
  { "done", kDone, "resolve@0 done" },
  { "void", kVoid, "resolve@0 not_run" },
  { "key too old",
    Replies(verdict::kRefused, reason::kKeyExpired),
    "resolve@0 refused" },
  { "nobody can tell",
    Replies(verdict::kNotRun, reason::kNoPrimary),
    "resolve@0 unknown" },
};

} // namespace

TEST_GROUP(gateway_failures){};

TEST(gateway_failures, statements)
{
  for (const auto& row : kFailures) {
    engine_fixture fixture;
    fixture.Submit(Call(row.workClass));
    for (const auto& next : row.events) {
      ApplyEvent(fixture, next);
    }
    STRCMP_EQUAL_TEXT(row.log, fixture.log.c_str(), row.name);
    const auto& answer = fixture.given.answer;
    CHECK_TEXT(row.why == answer.why, row.name);
    LONGS_EQUAL_TEXT(1, fixture.answers, row.name);
    LONGS_EQUAL_TEXT(0, fixture.Engine().Pending(), row.name);
    CHECK_TEXT(fixture.Engine().NextTick() == time_point::max(), row.name);
    const bool write = std::string(row.workClass) != "lookup";
    CHECK_EQUAL_TEXT(write && answer.verdict == verdict::kUnknown,
                     !answer.outcomePath.empty(),
                     row.name);
    CHECK_EQUAL_TEXT(
      answer.verdict == verdict::kNotRun, answer.retryAfter > 0ms, row.name);
  }
}

TEST(gateway_failures, calls_in_a_transaction)
{
  for (const auto& row : kBoundFates) {
    engine_fixture fixture;
    auto call = Call("", row.kind);
    call.transaction = TransactionId(fixture.owners[1]);
    fixture.Submit(call);
    for (const auto& next : row.events) {
      ApplyEvent(fixture, next);
    }
    STRCMP_EQUAL_TEXT(row.log, fixture.log.c_str(), row.name);
    CHECK_TEXT(row.why == fixture.given.answer.why, row.name);
    LONGS_EQUAL_TEXT(1, fixture.answers, row.name);
    LONGS_EQUAL_TEXT(0, fixture.Engine().Pending(), row.name);
  }
}

TEST(gateway_failures, outcome_is_not_run_only_when_the_key_is_void)
{
  for (const auto& row : kOutcomes) {
    engine_fixture fixture;
    auto call = Call("", call_kind::kOutcome);
    call.key = GeneratedKey(5).Text();
    call.deadline = 10ms;
    fixture.Submit(call);
    ApplyEvent(fixture, row.reply);
    STRCMP_EQUAL_TEXT(row.log, fixture.log.c_str(), row.name);
  }
}
