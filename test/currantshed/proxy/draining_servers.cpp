// While the primary of a group could not be replaced, every VM kept sending
// requests to it although it had announced that it drains: only a failover
// ended that. Within one day 96 requests reached a server after its grace
// period, one of them 10987 ms after the announcement. A server may exit once
// its grace period is over, and requests that reach it later are lost. The use
// of a draining server therefore ends by itself, whatever its role and the
// state of the failover.
#include <chrono>
#include <functional>

#include "test/currantshed/proxy/one_vm.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using test::one_vm;
using test::recording_caller;

namespace {

struct draining_row
{
  const char* name;
  const char* route;
  proxy::statement_kind kind;
  std::function<void(one_vm&)> arrange;
  /// Time between the change and the request.
  std::chrono::milliseconds delay;
  /// Whether "a" gets the request.
  bool expected;
};

void
StartDraining(one_vm& aVm)
{
  aVm.List({ "a", "b" }, { "a" });
}

void
Exit(one_vm& aVm)
{
  aVm.List({ "b" }, {});
}

const draining_row kRows[] = {
  { "the primary does not drain",
    "claims",
    proxy::statement_kind::kWrite,
    [](one_vm&) {},
    60000ms,
    true },
  { "a write, soon after the primary began to drain",
    "claims",
    proxy::statement_kind::kWrite,
    StartDraining,
    500ms,
    true },
  { "a write, after the grace period",
    "claims",
    proxy::statement_kind::kWrite,
    StartDraining,
    6500ms,
    false },
  { "a read of the primary, after the grace period",
    "claims",
    proxy::statement_kind::kRead,
    StartDraining,
    6500ms,
    false },
  { "a transaction, after the grace period",
    "claims",
    proxy::statement_kind::kBegin,
    StartDraining,
    6500ms,
    false },
  { "a read that any server may answer, after the grace period",
    "claims-read",
    proxy::statement_kind::kRead,
    [](one_vm& aVm) { aVm.List({ "a" }, { "a" }); },
    6500ms,
    false },
  { "a write, after the primary is no longer listed",
    "claims",
    proxy::statement_kind::kWrite,
    Exit,
    200ms,
    false },
};

} // namespace

TEST_GROUP(draining_servers){};

TEST(draining_servers, get_no_work_after_the_grace_period)
{
  for (const auto& row : kRows) {
    one_vm vm;
    recording_caller caller;
    row.arrange(vm);
    vm.AdvanceTime(row.delay);
    const auto session = vm.engine.Open(row.route, caller);
    if (row.kind == proxy::statement_kind::kBegin) {
      vm.Ask(*session, proxy::statement_kind::kBegin, "BEGIN");
      vm.Ask(*session, proxy::statement_kind::kRead, "READ 1");
    } else {
      vm.Ask(*session, row.kind, "READ 1");
    }
    vm.AdvanceTime(500ms);
    CHECK_TEXT(vm.WasSentWork("a") == row.expected, row.name);
  }
}

// A request is dispatched to the draining server in time, but the server is
// slow to answer the session setup; the statement would arrive after the grace
// period.
TEST(draining_servers, get_no_work_that_was_delayed_past_the_grace_period)
{
  one_vm vm;
  recording_caller caller;
  const auto session = vm.engine.Open("claims", caller);
  vm.Ask(*session, proxy::statement_kind::kSet, "SET shop 7");
  StartDraining(vm);
  vm.Ask(*session, proxy::statement_kind::kWrite, "WRITE 1 x");
  vm.AdvanceTime(500ms);
  CHECK(!vm.WasSentWork("a"));
  CHECK(!vm.servers.sent["a"].empty());
  Exit(vm);
  proxy::answer taken;
  taken.position = position::log_position{ 1, 5 };
  vm.servers.listeners["a"]->Answered(taken, vm.now);
  vm.AdvanceTime(300ms);
  CHECK(!vm.WasSentWork("a"));
}

namespace {

struct relay_row
{
  const char* name;
  proxy::statement_kind kind;
  /// How long the server has been draining.
  std::chrono::milliseconds delay;
  /// Whether it is sent on; otherwise it is rejected at once.
  bool expected;
};

const relay_row kRelayRows[] = {
  { "within the grace period", proxy::statement_kind::kRead, 500ms, true },
  { "a statement, after the grace period",
    proxy::statement_kind::kRead,
    6500ms,
    false },
  { "a transaction, after the grace period",
    proxy::statement_kind::kBegin,
    6500ms,
    false },
  { "a state query, after the grace period",
    proxy::statement_kind::kReport,
    6500ms,
    true },
};

} // namespace

TEST(draining_servers, get_no_relayed_work_after_the_grace_period)
{
  for (const auto& row : kRelayRows) {
    one_vm vm;
    recording_caller caller;
    StartDraining(vm);
    vm.AdvanceTime(row.delay);
    const auto session = vm.engine.OpenRelay("a", caller);
    vm.Ask(*session, row.kind, "READ 1");
    if (!row.expected) {
      CHECK_TEXT(caller.lastAnswer && caller.lastAnswer->failed, row.name);
      CHECK_TEXT(caller.lastAnswer->failed->code == proxy::failure_code::kBusy,
                 row.name);
    }
    vm.AdvanceTime(500ms);
    CHECK_TEXT(vm.WasSentWork("a") == row.expected, row.name);
  }
}
