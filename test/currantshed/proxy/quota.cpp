#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "test/currantshed/proxy/customers_configuration.hpp"
#include "test/currantshed/proxy/one_vm.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using proxy::failure_code;
using proxy::statement_kind;
using test::recording_caller;

namespace {

/// A VM with one customer that has a quota.
class limited_vm : public test::one_vm
{
public:
  explicit limited_vm(
    std::optional<customer::quota> aLimit = customer::quota{ 10, 10 })
  {
    engine.SetConfiguration(
      test::CustomersConfiguration(2, { { "baker", { "key-b" }, aLimit } }),
      now);
    customer::freshness fresh(5000ms);
    fresh.MarkVerified(now);
    engine.SetFreshness(fresh);
  }

  proxy::engine::session_id Open(recording_caller& aCaller,
                                 const char* aDatabase = "claims")
  {
    return *engine.Open(aDatabase, aCaller, "key-b");
  }

  /// Lets connections open, and answers the last command.
  void Serve()
  {
    AdvanceTime(100ms);
    proxy::answer made;
    made.signature = "signed";
    made.position = position::log_position{ 1, 6 };
    servers.listeners["a"]->Answered(made, now);
  }
};

struct counted_row
{
  const char* name;
  std::optional<customer::quota> limit;
  const char* database;
  /// Requests of the session, in order.
  std::vector<std::pair<statement_kind, const char*>> statements;
  /// Expected number of tokens taken.
  unsigned tokens;
};

const counted_row kCountedRows[] = {
  { "a single statement",
    customer::quota{ 10, 10 },
    "claims",
    { { statement_kind::kRead, "READ x" } },
    1 },
  { "two statements",
    customer::quota{ 10, 10 },
    "claims",
    { { statement_kind::kRead, "READ x" },
      { statement_kind::kRead, "READ y" } },
    2 },
  { "a statement that needs no server",
    customer::quota{ 10, 10 },
    "claims",
    { { statement_kind::kSet, "SET n v" } },
    0 },
  { "without a quota",
    std::nullopt,
    "claims",
    { { statement_kind::kRead, "READ x" } },
    0 },
  { "a public route",
    customer::quota{ 10, 10 },
    "open",
    { { statement_kind::kRead, "READ x" } },
    0 },
};

} // namespace

TEST_GROUP(quota){};

// Without a token nothing reaches the server.
TEST(quota, Each_operation_takes_a_token)
{
  for (const auto& row : kCountedRows) {
    limited_vm vm(row.limit);
    recording_caller caller;
    const auto session = vm.Open(caller, row.database);
    unsigned used = 0;
    for (const auto& [kind, text] : row.statements) {
      caller.lastAnswer.reset();
      vm.Ask(session, kind, text);
      vm.AdvanceTime(50ms);
      if (row.tokens > 0) {
        CHECK_TEXT(!caller.lastAnswer && vm.servers.sent["a"].size() == used,
                   row.name);
        vm.engine.GrantTokens("baker", 1, vm.now, vm.now);
        ++used;
      }
      if (kind != statement_kind::kSet) {
        vm.Serve();
      }
      CHECK_TEXT(caller.lastAnswer && !caller.lastAnswer->failed, row.name);
    }
    LONGS_EQUAL_TEXT(row.tokens, used, row.name);
  }
}

TEST(quota, A_transaction_takes_one)
{
  limited_vm vm;
  recording_caller caller;
  const auto session = vm.Open(caller);
  vm.Ask(session, statement_kind::kBegin, "BEGIN");
  caller.lastAnswer.reset();
  vm.Ask(session, statement_kind::kRead, "READ x");
  vm.AdvanceTime(50ms);
  CHECK(!vm.WasSentWork("a"));
  vm.engine.GrantTokens("baker", 1, vm.now, vm.now);
  // Begins the transaction, then runs the statement.
  vm.Serve();
  vm.Serve();
  CHECK(caller.lastAnswer && !caller.lastAnswer->failed);
  caller.lastAnswer.reset();
  vm.Ask(session, statement_kind::kRead, "READ y");
  vm.Serve();
  CHECK(caller.lastAnswer && !caller.lastAnswer->failed);
}

TEST(quota, Rejected_operations_get_a_retry_delay)
{
  limited_vm vm;
  recording_caller first;
  recording_caller second;
  vm.Ask(vm.Open(first), statement_kind::kRead, "READ x");
  vm.Ask(vm.Open(second), statement_kind::kRead, "READ y");
  vm.engine.RefuseTokens("baker", 1, 300ms, vm.now);
  CHECK(first.lastAnswer && first.lastAnswer->failed);
  CHECK(first.lastAnswer->failed->code == failure_code::kBusy);
  STRCMP_CONTAINS("retry after 300 ms", first.lastAnswer->failed->text.c_str());
  CHECK(!second.lastAnswer);
  vm.AdvanceTime(200ms);
  // The quota check is not answered within half of the target.
  CHECK(second.lastAnswer &&
        second.lastAnswer->failed->code == failure_code::kBusy);
  CHECK(!vm.WasSentWork("a"));
}

// The token of a caller that has disconnected goes to the next one; a waiting
// operation takes precedence over a new one.
TEST(quota, Tokens_are_granted_in_arrival_order)
{
  limited_vm vm;
  recording_caller gone;
  recording_caller waits;
  const auto left = vm.Open(gone);
  vm.Ask(left, statement_kind::kRead, "READ x");
  vm.Ask(vm.Open(waits), statement_kind::kRead, "READ y");
  vm.engine.Close(left, vm.now);
  recording_caller late;
  vm.Ask(vm.Open(late), statement_kind::kRead, "READ z");
  vm.engine.GrantTokens("baker", 1, vm.now, vm.now);
  vm.AdvanceTime(50ms);
  STRCMP_EQUAL("READ y", vm.servers.last.text.c_str());
}

// A token requested before the process was suspended is no longer valid.
TEST(quota, Expired_tokens_are_not_used)
{
  limited_vm vm;
  recording_caller caller;
  const auto askedAt = vm.now;
  vm.Ask(vm.Open(caller), statement_kind::kRead, "READ x");
  vm.now += 2000ms;
  vm.engine.Confirm("claims", { 1, "a", vm.now }, vm.now);
  vm.engine.GrantTokens("baker", 1, askedAt, vm.now);
  vm.AdvanceTime(50ms);
  CHECK(!vm.WasSentWork("a"));
}

namespace {

struct outage_row
{
  const char* name;
  /// How long the primary is unknown after the token was granted.
  std::chrono::milliseconds lasts;
  /// Whether the operation is sent with that token.
  bool sent;
};

const outage_row kOutageRows[] = {
  { "a short one", 100ms, true },
  { "longer than a token lives", 800ms, false },
};

struct attempt_row
{
  const char* name;
  /// What the server answers; empty: the connection is lost.
  std::optional<failure_code> answer;
  /// Whether the next attempt needs a token of its own.
  bool needsToken;
};

const attempt_row kAttemptRows[] = {
  { "no answer", std::nullopt, true },
  { "failed while running", failure_code::kFailed, true },
  { "not run", failure_code::kNoStatement, false },
};

} // namespace

// While the primary is being replaced, requests wait with their tokens. If all
// were sent with them at its end, a window would hold the operations of the
// outage besides its own.
TEST(quota, An_operation_is_not_sent_with_an_expired_token)
{
  for (const auto& row : kOutageRows) {
    for (const bool refused : { false, true }) {
      limited_vm vm;
      vm.engine.Revoke("claims", 1);
      recording_caller caller;
      vm.Ask(vm.Open(caller), statement_kind::kRead, "READ x");
      vm.engine.GrantTokens("baker", 1, vm.now, vm.now);
      vm.AdvanceTime(row.lasts);
      CHECK_TEXT(!vm.WasSentWork("a"), row.name);
      vm.engine.Confirm("claims", { 2, "a", vm.now }, vm.now);
      vm.AdvanceTime(100ms);
      CHECK_TEXT(vm.WasSentWork("a") == row.sent, row.name);
      CHECK_TEXT(!caller.lastAnswer, row.name);
      if (row.sent) {
        continue;
      }
      if (refused) {
        vm.engine.RefuseTokens("baker", 1, 300ms, vm.now);
        CHECK_TEXT(caller.lastAnswer && caller.lastAnswer->failed, row.name);
        CHECK(caller.lastAnswer->failed->code == failure_code::kBusy);
        STRCMP_EQUAL("token_expired; retry after 300 ms",
                     caller.lastAnswer->failed->text.c_str());
      } else {
        vm.engine.GrantTokens("baker", 1, vm.now, vm.now);
        vm.AdvanceTime(50ms);
        CHECK_TEXT(vm.WasSentWork("a"), row.name);
      }
    }
  }
}

// A read that is repeated may run twice. Without a token for its second attempt
// it is refused, but not as one that has not run.
TEST(quota, Each_attempt_that_may_run_takes_a_token)
{
  for (const auto& row : kAttemptRows) {
    limited_vm vm;
    recording_caller caller;
    vm.Ask(vm.Open(caller), statement_kind::kRead, "READ x");
    vm.engine.GrantTokens("baker", 1, vm.now, vm.now);
    vm.AdvanceTime(50ms);
    const auto before = vm.servers.sent["a"].size();
    CHECK_TEXT(before > 0, row.name);
    if (row.answer) {
      proxy::answer failed;
      failed.failed = proxy::failure{ *row.answer, "" };
      vm.servers.listeners["a"]->Answered(failed, vm.now);
    } else {
      vm.servers.listeners["a"]->Ended(proxy::link_close_reason::kBroken,
                                       vm.now);
    }
    CHECK_TEXT(!caller.lastAnswer, row.name);
    if (!row.needsToken) {
      CHECK_TEXT(vm.servers.sent["a"].size() > before, row.name);
      continue;
    }
    vm.AdvanceTime(50ms);
    CHECK_TEXT(vm.servers.sent["a"].size() == before, row.name);
    vm.engine.RefuseTokens("baker", 1, 300ms, vm.now);
    CHECK_TEXT(caller.lastAnswer && caller.lastAnswer->failed, row.name);
    CHECK_TEXT(caller.lastAnswer->failed->code == failure_code::kFailed,
               row.name);
    STRCMP_EQUAL("token_used; retry after 300 ms",
                 caller.lastAnswer->failed->text.c_str());
  }
}

// The token of an operation that ends unsent serves the next one, as long as it
// would have served the first.
TEST(quota, Unused_tokens_are_returned_with_their_age)
{
  for (const auto& row : kOutageRows) {
    limited_vm vm;
    vm.engine.Revoke("claims", 1);
    recording_caller gone;
    recording_caller next;
    const auto left = vm.Open(gone);
    vm.Ask(left, statement_kind::kRead, "READ x");
    vm.engine.GrantTokens("baker", 1, vm.now, vm.now);
    vm.AdvanceTime(row.lasts);
    vm.engine.Close(left, vm.now);
    vm.engine.Confirm("claims", { 2, "a", vm.now }, vm.now);
    vm.Ask(vm.Open(next), statement_kind::kRead, "READ y");
    vm.AdvanceTime(100ms);
    CHECK_TEXT(vm.WasSentWork("a") == row.sent, row.name);
  }
}

// An operation that the server rejects unrun costs nothing.
TEST(quota, Tokens_of_rejected_operations_are_returned)
{
  limited_vm vm;
  recording_caller first;
  recording_caller second;
  vm.Ask(vm.Open(first), statement_kind::kWrite, "WRITE x");
  vm.engine.GrantTokens("baker", 1, vm.now, vm.now);
  vm.AdvanceTime(50ms);
  proxy::answer busy;
  busy.failed = proxy::failure{ failure_code::kBusy, "" };
  vm.servers.listeners["a"]->Answered(busy, vm.now);
  CHECK(first.lastAnswer && first.lastAnswer->failed);
  vm.Ask(vm.Open(second), statement_kind::kWrite, "WRITE y");
  vm.AdvanceTime(50ms);
  STRCMP_EQUAL("WRITE y", vm.servers.last.text.c_str());
}
