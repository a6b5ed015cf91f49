// While the primary of a group could not be replaced, every VM went on sending
// requests to it although it had said that it leaves: only the change of the
// primary ended that, and nothing else bounded it. In one day 96 requests came
// later than the server allows; the last line of one of them:
//   20.002 request outcome=refused server=i-e17904285a needs_primary=true
//     server_leaving_ms=10987
// A server may exit as soon as its time is over, and work that reaches it then
// is lost. So the use of a leaving server ends by itself, whatever role it has
// and however the change of the primary goes.
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
  proxy::statement_kind asked;
  std::function<void(one_vm&)> given;
  /// How long after that the request comes.
  std::chrono::milliseconds after;
  /// Whether "a" gets it.
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
  { "a primary that stays",
    "claims",
    proxy::statement_kind::kWrite,
    [](one_vm&) {},
    60000ms,
    true },
  { "a write, just after the primary said that it leaves",
    "claims",
    proxy::statement_kind::kWrite,
    StartDraining,
    500ms,
    true },
  { "a write, when its time is nearly over",
    "claims",
    proxy::statement_kind::kWrite,
    StartDraining,
    6500ms,
    false },
  { "a read of the primary, when its time is nearly over",
    "claims",
    proxy::statement_kind::kRead,
    StartDraining,
    6500ms,
    false },
  { "a transaction, when its time is nearly over",
    "claims",
    proxy::statement_kind::kBegin,
    StartDraining,
    6500ms,
    false },
  { "a read that any server may answer, when its time is nearly over",
    "claims-read",
    proxy::statement_kind::kRead,
    [](one_vm& aVm) { aVm.List({ "a" }, { "a" }); },
    6500ms,
    false },
  { "a write, after the primary's entry is gone",
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
    row.given(vm);
    vm.Pass(row.after);
    const auto session = vm.engine.Open(row.route, caller);
    if (row.asked == proxy::statement_kind::kBegin) {
      vm.Ask(*session, proxy::statement_kind::kBegin, "BEGIN");
      vm.Ask(*session, proxy::statement_kind::kRead, "READ 1");
    } else {
      vm.Ask(*session, row.asked, "READ 1");
    }
    vm.Pass(500ms);
    CHECK_TEXT(vm.HasWork("a") == row.expected, row.name);
  }
}

// A request got the leaving server in time, but the server was slow to take the
// session's values; what comes after them would reach it too late.
TEST(draining_servers, get_no_work_that_was_delayed_past_the_grace_period)
{
  one_vm vm;
  recording_caller caller;
  const auto session = vm.engine.Open("claims", caller);
  vm.Ask(*session, proxy::statement_kind::kSet, "SET shop 7");
  StartDraining(vm);
  vm.Ask(*session, proxy::statement_kind::kWrite, "WRITE 1 x");
  vm.Pass(500ms);
  CHECK(!vm.HasWork("a"));
  CHECK(!vm.servers.sent["a"].empty());
  Exit(vm);
  proxy::answer taken;
  taken.position = position::log_position{ 1, 5 };
  vm.servers.listeners["a"]->Answered(taken, vm.now);
  vm.Pass(300ms);
  CHECK(!vm.HasWork("a"));
}

namespace {

struct relay_row
{
  const char* name;
  proxy::statement_kind asked;
  /// How long the server has been leaving.
  std::chrono::milliseconds after;
  /// Whether it is sent on; otherwise it is refused at once.
  bool expected;
};

const relay_row kRelayRows[] = {
  { "in time", proxy::statement_kind::kRead, 500ms, true },
  { "a statement", proxy::statement_kind::kRead, 6500ms, false },
  { "a transaction", proxy::statement_kind::kBegin, 6500ms, false },
  { "a question about its state",
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
    vm.Pass(row.after);
    const auto session = vm.engine.OpenRelay("a", caller);
    vm.Ask(*session, row.asked, "READ 1");
    if (!row.expected) {
      CHECK_TEXT(caller.lastAnswer && caller.lastAnswer->failed, row.name);
      CHECK_TEXT(caller.lastAnswer->failed->code == proxy::failure_code::kBusy,
                 row.name);
    }
    vm.Pass(500ms);
    CHECK_TEXT(vm.HasWork("a") == row.expected, row.name);
  }
}
