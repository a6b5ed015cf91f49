#include "currantshed/gateway/engine.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "currantshed/gateway/error.hpp"
#include "currantshed/gateway/transaction_handle.hpp"
#include "currantshed/member/membership.hpp"
#include "currantshed/session/token.hpp"
#include "test/currantshed/gateway/engine_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace currantshed::gateway::test;
namespace gateway = currantshed::gateway;
namespace session = currantshed::session;
using currantshed::clock::time_point;
using currantshed::outcome::reason;
using currantshed::outcome::verdict;
using currantshed::position::log_position;
using gateway::call_kind;
using gateway::gateway_error;

namespace {

struct refusal_row
{
  const char* name;
  void (*change)(gateway::caller_request&);
  gateway_error expect;
};

const refusal_row kRefusals[] = {
  { "unknown class",
    [](auto& aCall) { aCall.workClass = "nonsense"; },
    gateway_error::kUnknownClass },
  { "unknown group",
    [](auto& aCall) { aCall.group = "nonsense"; },
    gateway_error::kUnknownGroup },
  { "group that the class may not use",
    [](auto& aCall) { aCall.workClass = "planning"; },
    gateway_error::kGroupNotAllowed },
  { "no statement",
    [](auto& aCall) { aCall.statements.clear(); },
    gateway_error::kNoStatement },
  { "empty statement",
    [](auto& aCall) { aCall.statements[0].sql.clear(); },
    gateway_error::kNoStatement },
  { "too many statements",
    [](auto& aCall) {
      aCall.statements.resize(65, { "SELECT 1", {} });
    },
    gateway_error::kTooManyStatements },
  { "statement too large",
    [](auto& aCall) { aCall.statements[0].sql.assign(262145, 'x'); },
    gateway_error::kStatementTooLarge },
  { "too many parameters",
    [](auto& aCall) { aCall.statements[0].parameters.resize(1025); },
    gateway_error::kTooManyParameters },
  { "malformed token",
    [](auto& aCall) { aCall.session = "nonsense!"; },
    gateway_error::kMalformedToken },
  { "forged token",
    [](auto& aCall) {
      aCall.session = session::MakeToken({}, Ring(kOtherKeys));
    },
    gateway_error::kBadTokenSignature },
  { "foreign token",
    [](auto& aCall) { aCall.session = TransactionId("vm-a"); },
    gateway_error::kUntrustedToken },
  { "malformed key",
    [](auto& aCall) { aCall.key = "nonsense"; },
    gateway_error::kMalformedKey },
  { "transaction of a class that only reads",
    [](auto& aCall) {
      aCall.kind = call_kind::kBegin;
      aCall.workClass = "lookup";
    },
    gateway_error::kReadOnlyClass },
  { "malformed transaction",
    [](auto& aCall) {
      aCall.kind = call_kind::kCommit;
      aCall.transaction = "nonsense!";
    },
    gateway_error::kMalformedTransaction },
  { "session's token in place of a transaction's id",
    [](auto& aCall) {
      aCall.kind = call_kind::kCommit;
      aCall.transaction = session::MakeToken({}, Ring());
    },
    gateway_error::kUntrustedTransaction },
  { "another key than that of the transaction",
    [](auto& aCall) {
      aCall.kind = call_kind::kCommit;
      aCall.transaction = TransactionId("vm-a");
      aCall.key = GeneratedKey(78).Text();
    },
    gateway_error::kKeyMismatch },
  { "outcome without a key",
    [](auto& aCall) { aCall.kind = call_kind::kOutcome; },
    gateway_error::kMalformedKey },
};

using token = std::optional<std::string>;

struct floor_row
{
  const char* name;
  token (*make)();
  log_position floor;
  bool fresh;
};

const floor_row kFloors[] = {
  { "no token", [] { return token(); }, {}, true },
  { "new session", [] { return token("new"); }, {}, false },
  { "token with the group",
    [] {
      return token(session::MakeToken(Seen(kGroup, { 2, 8 }), Ring()));
    },
    { 2, 8 },
    false },
  { "token without the group",
    [] {
      return token(session::MakeToken(Seen("planner", { 2, 8 }), Ring()));
    },
    {},
    false },
  { "overflowed token without the group",
    [] {
      auto seen = Seen("planner", { 2, 8 });
      seen.MarkIncomplete();
      return token(session::MakeToken(seen, Ring()));
    },
    {},
    true },
};

struct deadline_row
{
  const char* name;
  std::chrono::milliseconds own;
  /// Zero if nothing is to be sent.
  std::chrono::milliseconds budget;
};

const deadline_row kDeadlines[] = {
  { "the caller's comes first", 100ms, 95ms },
  { "the class's comes first", 9000ms, 1995ms },
  { "no time at all", 5ms, 0ms },
};

} // namespace

TEST_GROUP(gateway_engine){};

TEST(gateway_engine, refusals)
{
  for (const auto& row : kRefusals) {
    engine_fixture fixture;
    auto call = Call("report");
    row.change(call);
    fixture.Submit(call);
    STRCMP_EQUAL_TEXT("refused", fixture.log.c_str(), row.name);
    const auto& fault = fixture.given.answer.fault;
    STRCMP_EQUAL_TEXT(make_error_code(row.expect).message().c_str(),
                      fault.message().c_str(),
                      row.name);
  }
}

TEST(gateway_engine, floors)
{
  for (const auto& row : kFloors) {
    engine_fixture fixture;
    auto call = Call("lookup");
    call.session = row.make();
    fixture.Submit(call);
    CHECK_TEXT(row.floor == fixture.sent.request.floor, row.name);
    CHECK_EQUAL_TEXT(row.fresh, fixture.sent.request.fresh, row.name);
  }
}

TEST(gateway_engine, deadlines)
{
  for (const auto& row : kDeadlines) {
    engine_fixture fixture;
    auto call = Call("report");
    call.deadline = row.own;
    fixture.Submit(call);
    if (row.budget == 0ms) {
      STRCMP_EQUAL_TEXT("not_run", fixture.log.c_str(), row.name);
      CHECK_TEXT(fixture.given.answer.why == reason::kDeadline, row.name);
    } else {
      CHECK_TEXT(fixture.sent.request.deadline - fixture.now == row.budget,
                 row.name);
    }
  }
}

TEST(gateway_engine, answer_over_the_limit)
{
  struct row
  {
    const char* name;
    const char* workClass;
    std::size_t bytes;
    verdict expect;
    reason why;
  };
  constexpr std::size_t kLimit = 8UL * 1024 * 1024;
  const row kRows[] = {
    { "read at the limit", "lookup", kLimit, verdict::kDone, reason::kNone },
    { "read over it",
      "lookup",
      kLimit + 1,
      verdict::kRefused,
      reason::kAnswerTooLarge },
    { "a change over it was made all the same",
      "report",
      kLimit + 1,
      verdict::kDone,
      reason::kAnswerTooLarge },
  };
  for (const auto& row : kRows) {
    engine_fixture fixture;
    fixture.Submit(Call(row.workClass));
    auto answer = Answer(verdict::kDone);
    answer.results = { { { "c" }, { std::string(row.bytes, 'x') }, 0 } };
    fixture.Reply(answer);
    CHECK_TEXT(row.expect == fixture.given.answer.verdict, row.name);
    CHECK_TEXT(row.why == fixture.given.answer.why, row.name);
    CHECK_EQUAL_TEXT(row.why == reason::kNone,
                     !fixture.given.answer.results.empty(),
                     row.name);
  }
}

TEST(gateway_engine, answer_advances_the_token)
{
  engine_fixture fixture;
  auto call = Call("report");
  call.session = session::MakeToken(Seen("planner", { 2, 8 }), Ring());
  fixture.Submit(call);
  fixture.Reply(Answer(verdict::kDone));
  session::position_vector seen;
  CHECK(!session::ReadToken(fixture.given.answer.session, Ring(), seen));
  CHECK(seen.Floor(kGroup).position == (log_position{ 3, 50 }));
  CHECK(seen.Floor("planner").position == (log_position{ 2, 8 }));
}

TEST(gateway_engine, answer_to_a_session_without_token_is_marked_incomplete)
{
  engine_fixture fixture;
  auto call = Call("report");
  call.session.reset();
  fixture.Submit(call);
  fixture.Reply(Answer(verdict::kDone));
  session::position_vector seen;
  CHECK(!session::ReadToken(fixture.given.answer.session, Ring(), seen));
  CHECK_FALSE(seen.Floor(kGroup).fresh);
  CHECK(seen.Floor("planner").fresh);
}

TEST(gateway_engine, transaction_id_names_pooler_and_key)
{
  engine_fixture fixture;
  fixture.Submit(Call("report", call_kind::kBegin));
  auto opened = Answer(verdict::kDone);
  opened.transaction = 42;
  fixture.Reply(opened);
  gateway::transaction_handle name;
  const auto& answer = fixture.given.answer;
  CHECK(!gateway::ReadTransactionId(answer.transaction, Ring(), name));
  const gateway::transaction_handle expected{
    fixture.owners[0], "life-1", 42, "report", kGroup, GeneratedKey(1)
  };
  CHECK(name == expected);
  CHECK(answer.key == GeneratedKey(1));
}

TEST(gateway_engine, commit_uses_the_key_of_the_transaction)
{
  engine_fixture fixture;
  auto call = Call("", call_kind::kCommit);
  call.transaction = TransactionId("vm-a");
  fixture.Submit(call);
  CHECK(fixture.sent.request.key == GeneratedKey(77));
  LONGS_EQUAL(9, fixture.sent.request.transaction);
  STRCMP_EQUAL("life-1", fixture.sent.incarnation.c_str());
}

TEST(gateway_engine, commit_at_a_vm_that_has_gone_is_resolved)
{
  engine_fixture fixture;
  auto call = Call("", call_kind::kCommit);
  call.transaction = TransactionId("vm-gone");
  fixture.Submit(call);
  fixture.Reply(Answer(verdict::kNotRun, reason::kKeyVoid));
  STRCMP_EQUAL("resolve@0 not_run", fixture.log.c_str());
}

TEST(gateway_engine, unknown_class_of_a_change_is_served_where_any_may_write)
{
  struct row
  {
    const char* name;
    call_kind kind;
    const char* workClass;
    std::vector<std::string> domains;
  };
  const row kRows[] = {
    { "outcome", call_kind::kOutcome, "", { "depot", "hall" } },
    { "commit of a class that was dropped",
      call_kind::kCommit,
      "dropped",
      { "depot", "hall" } },
    { "commit of a class that is there",
      call_kind::kCommit,
      "report",
      { "depot" } },
  };
  for (const auto& row : kRows) {
    engine_fixture fixture;
    auto call = Call("", row.kind);
    call.key = GeneratedKey(77).Text();
    call.transaction = gateway::MakeTransactionId(
      { "vm-a", "life-1", 9, row.workClass, kGroup, GeneratedKey(77) }, Ring());
    fixture.Submit(call);
    CHECK_TEXT(row.domains == fixture.sent.request.work.servedIn, row.name);
  }
}

TEST(gateway_engine, suspect_pooler_is_skipped_for_a_while)
{
  engine_fixture fixture;
  fixture.Submit(Call("lookup"));
  fixture.Engine().PoolerLost(fixture.owners[0], fixture.now);
  fixture.CollectActions();
  fixture.Reply(Answer(verdict::kDone));
  fixture.Submit(Call("lookup"));
  fixture.Reply(Answer(verdict::kDone));
  fixture.Advance(2000ms);
  fixture.Submit(Call("lookup"));
  STRCMP_EQUAL("read@0 cancel@0 read@1 done read@1 done read@0",
               fixture.log.c_str());
}

TEST(gateway_engine, pooler_cut_off_from_one_group_still_serves_others)
{
  engine_fixture fixture;
  fixture.Submit(Call("lookup"));
  fixture.Reply(Answer(verdict::kNotRun, reason::kNoPrimary));
  fixture.Reply(Answer(verdict::kDone));
  fixture.Submit(Call("lookup"));
  fixture.Reply(Answer(verdict::kDone));
  STRCMP_EQUAL("read@0 read@1 done read@1 done", fixture.log.c_str());
  auto other = Call("planning");
  other.group = "planner";
  const auto owners =
    currantshed::member::ChooseOwners("planner", SampleView().live, 3);
  fixture.Submit(other);
  STRCMP_EQUAL(owners[0].id.c_str(), fixture.sent.vm.c_str());
}

TEST(gateway_engine, late_answer_of_a_lost_pooler_is_dropped)
{
  engine_fixture fixture;
  fixture.Submit(Call("lookup"));
  auto late = Answer(verdict::kDone);
  late.request = fixture.sent.request.id;
  fixture.Engine().PoolerLost(fixture.owners[0], fixture.now);
  fixture.CollectActions();
  fixture.Engine().PoolerAnswered(late, "life-1", fixture.now);
  fixture.CollectActions();
  STRCMP_EQUAL("read@0 cancel@0 read@1", fixture.log.c_str());
}

TEST(gateway_engine, caller_that_has_gone_gets_no_answer)
{
  engine_fixture fixture;
  fixture.Submit(Call("report"));
  fixture.Engine().Cancel(1, fixture.now);
  fixture.CollectActions();
  STRCMP_EQUAL("write@0 cancel@0", fixture.log.c_str());
  LONGS_EQUAL(0, fixture.Engine().Pending());
  LONGS_EQUAL(1, fixture.Engine().Counters().abandoned);
}

TEST(gateway_engine, configuration_never_goes_back)
{
  engine_fixture fixture;
  CHECK_FALSE(fixture.Engine().Configure(SampleConfiguration(kVersion - 1)));
  CHECK(fixture.Engine().Configure(SampleConfiguration(kVersion)));
  CHECK(fixture.Engine().Configure(SampleConfiguration(kVersion + 1)));
  CHECK_FALSE(fixture.Engine().Configure(SampleConfiguration(kVersion)));
}

TEST(gateway_engine, one_class_leaves_room_for_others)
{
  engine_fixture fixture;
  for (unsigned at = 0; at < 5000; ++at) {
    fixture.Submit(Call("lookup"));
  }
  // A class with unlimited demand gets half of the capacity and no more.
  LONGS_EQUAL(2048, fixture.Engine().Pending());
  CHECK(fixture.given.answer.why == reason::kOverloaded);
  CHECK(fixture.given.answer.retryAfter > 0ms);
  fixture.Submit(Call("report"));
  LONGS_EQUAL(2049, fixture.Engine().Pending());
  auto commit = Call("", call_kind::kCommit);
  commit.transaction = TransactionId("vm-a");
  fixture.Submit(commit);
  LONGS_EQUAL(2050, fixture.Engine().Pending());
}

TEST(gateway_engine, draining_refuses_new_work_and_ends_what_is_under_way)
{
  engine_fixture fixture;
  fixture.Submit(Call("report"));
  fixture.Engine().Drain();
  fixture.Submit(Call("report"));
  CHECK(fixture.given.answer.why == reason::kLeaving);
  fixture.Reply(Answer(verdict::kDone));
  STRCMP_EQUAL("write@0 not_run done", fixture.log.c_str());
  LONGS_EQUAL(0, fixture.Engine().Pending());
}

TEST(gateway_engine, expiring_answers_all)
{
  engine_fixture fixture;
  fixture.Submit(Call("report"));
  fixture.Submit(Call("lookup"));
  fixture.Engine().ExpireAll(fixture.now);
  fixture.CollectActions();
  LONGS_EQUAL(2, fixture.answers);
  LONGS_EQUAL(0, fixture.Engine().Pending());
}

TEST(gateway_engine, retries_keep_to_their_budget)
{
  engine_fixture fixture;
  unsigned retried = 0;
  for (unsigned at = 0; at < 200; ++at) {
    fixture.Submit(Call("lookup"));
    fixture.log.clear();
    fixture.Engine().PoolerLost(fixture.sent.vm, fixture.now);
    fixture.CollectActions();
    if (fixture.log.find("read@") != std::string::npos) {
      ++retried;
      fixture.Reply(Answer(verdict::kDone));
    }
  }
  // A capacity of twenty, and a deposit of one tenth per request.
  CHECK(retried >= 38 && retried <= 41);
}

TEST(gateway_engine, nothing_is_served_without_configuration_or_view)
{
  const auto bare = gateway::MakeEngine({}, Ring());
  auto call = Call("report");
  call.number = 1;
  bare->Submit(call, time_point(1s));
  const auto actions = bare->TakeActions();
  LONGS_EQUAL(1, actions.size());
  const auto& answer = std::get<gateway::give_answer>(actions[0]).answer;
  CHECK(answer.verdict == verdict::kNotRun);
  CHECK(answer.why == reason::kUnreachable);
}
