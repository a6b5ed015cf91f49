#include <chrono>
#include <memory>
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

/// A VM before a customer with a quota.
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

  /// Lets connections open, and answers what was sent last.
  void Serve()
  {
    Pass(100ms);
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
  /// What the session asks, one after the other.
  std::vector<std::pair<statement_kind, const char*>> asked;
  /// Tokens that this takes.
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
  { "what needs no server",
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
    for (const auto& [kind, text] : row.asked) {
      caller.lastAnswer.reset();
      vm.Ask(session, kind, text);
      vm.Pass(50ms);
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
  vm.Pass(50ms);
  CHECK(!vm.HasWork("a"));
  vm.engine.GrantTokens("baker", 1, vm.now, vm.now);
  // The beginning, then the statement.
  vm.Serve();
  vm.Serve();
  CHECK(caller.lastAnswer && !caller.lastAnswer->failed);
  caller.lastAnswer.reset();
  vm.Ask(session, statement_kind::kRead, "READ y");
  vm.Serve();
  CHECK(caller.lastAnswer && !caller.lastAnswer->failed);
}

TEST(quota, Refused_operations_are_told_when_to_come_back)
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
  vm.Pass(200ms);
  // Nobody has answered for half of its target.
  CHECK(second.lastAnswer &&
        second.lastAnswer->failed->code == failure_code::kBusy);
  CHECK(!vm.HasWork("a"));
}

// The next one gets the token of a caller that has left; one that waits comes
// before one that has just come.
TEST(quota, Tokens_go_to_those_that_wait_in_their_order)
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
  vm.Pass(50ms);
  STRCMP_EQUAL("READ y", vm.servers.last.text.c_str());
}

// A token that was asked for before the VM stood still is none any more.
TEST(quota, Old_tokens_let_nothing_begin)
{
  limited_vm vm;
  recording_caller caller;
  const auto askedAt = vm.now;
  vm.Ask(vm.Open(caller), statement_kind::kRead, "READ x");
  vm.now += 2000ms;
  vm.engine.Confirm("claims", { 1, "a", vm.now }, vm.now);
  vm.engine.GrantTokens("baker", 1, askedAt, vm.now);
  vm.Pass(50ms);
  CHECK(!vm.HasWork("a"));
}
