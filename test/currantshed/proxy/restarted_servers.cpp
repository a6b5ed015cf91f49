// A server may start again under the id that it had, and then holds nothing of
// what it had acknowledged. What this VM believes of its life before, that it
// leads, where its log stands, that it leaves, must not count for the new one.
#include <chrono>
#include <functional>
#include <vector>

#include "test/currantshed/proxy/one_vm.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using test::one_vm;
using test::recording_caller;

namespace {

struct restart_row
{
  const char* name;
  proxy::statement_kind asked;
  std::function<void(one_vm&)> given;
  /// Whether "a" gets the request.
  bool expected;
};

void
ConfirmAgain(one_vm& aVm, std::chrono::milliseconds aAge)
{
  aVm.Pass(100ms);
  aVm.engine.Confirm("claims", { 1, "a", aVm.now - aAge }, aVm.now);
}

const restart_row kRows[] = {
  { "the primary is the same",
    proxy::statement_kind::kRead,
    [](one_vm&) {},
    true },
  { "the primary has started again",
    proxy::statement_kind::kRead,
    [](one_vm& aVm) { aVm.Restart("a"); },
    false },
  { "the primary has started again, and a change is asked for",
    proxy::statement_kind::kWrite,
    [](one_vm& aVm) { aVm.Restart("a"); },
    false },
  { "another server has started again",
    proxy::statement_kind::kRead,
    [](one_vm& aVm) { aVm.Restart("b"); },
    true },
  { "a proof of its life before comes late",
    proxy::statement_kind::kRead,
    [](one_vm& aVm) {
      aVm.Restart("a");
      ConfirmAgain(aVm, 200ms);
    },
    false },
  { "it is proved in its new life",
    proxy::statement_kind::kRead,
    [](one_vm& aVm) {
      aVm.Restart("a");
      ConfirmAgain(aVm, 50ms);
    },
    true },
  { "it was leaving, and starts again",
    proxy::statement_kind::kRead,
    [](one_vm& aVm) {
      aVm.List({ "a", "b" }, { "a" });
      aVm.Pass(20000ms);
      aVm.Restart("a");
      ConfirmAgain(aVm, 50ms);
    },
    true },
};

} // namespace

TEST_GROUP(restarted_servers){};

TEST(restarted_servers, lose_the_state_of_the_former_incarnation)
{
  for (const auto& row : kRows) {
    one_vm vm;
    recording_caller caller;
    row.given(vm);
    const auto session = vm.engine.Open("claims", caller);
    vm.Ask(*session, row.asked, "READ 1");
    vm.Pass(500ms);
    CHECK_TEXT(vm.HasWork("a") == row.expected, row.name);
  }
}

// The replica held what the read must see; its next life does not.
TEST(restarted_servers, keep_no_log_position)
{
  for (const bool restarts : { false, true }) {
    one_vm vm;
    recording_caller caller;
    vm.engine.AddSample("claims", { 1, { 1, 5 }, vm.now });
    // The primary is not proved any more: only the replica may serve.
    vm.engine.Revoke("claims", 1);
    if (restarts) {
      vm.opensAt = {};
      vm.Restart("b");
    }
    const auto session = vm.engine.Open("claims-read", caller);
    vm.Ask(*session, proxy::statement_kind::kRead, "READ 1");
    CHECK_EQUAL(!restarts, vm.HasWork("b"));
  }
}

// A connection may belong to the life before. What is under way on it ends as
// ever; nothing else is sent on it.
TEST(restarted_servers, get_no_new_work_on_old_connections)
{
  one_vm vm;
  recording_caller caller;
  const auto session = vm.engine.Open("claims", caller);
  vm.Ask(*session, proxy::statement_kind::kRead, "READ 1");
  vm.Pass(50ms);
  auto* before = vm.servers.listeners["a"];
  const auto opened = vm.servers.opened;
  vm.Restart("a");
  ConfirmAgain(vm, 0ms);
  proxy::answer made;
  made.signature = "a.1";
  made.position = position::log_position{ 1, 5 };
  before->Answered(made, vm.now);
  CHECK(caller.lastAnswer && !caller.lastAnswer->failed);
  vm.Ask(*session, proxy::statement_kind::kRead, "READ 2");
  vm.Pass(500ms);
  CHECK(vm.servers.opened > opened);
  CHECK(vm.servers.lastUsed > opened);
}

// A primary started again, empty, while a proof of its life before still held.
// The list told of it only after a pause, its connections broke at once, and a
// read on a new one was answered from nothing:
//   restart in group-0
//   item-141-4 shows - after 118 was acknowledged
// So a read says also to the primary what it must hold.
namespace {

struct primary_row
{
  const char* name;
  std::vector<proxy::statement_kind> asked;
  /// Whether the last command sent carries what its server must hold.
  bool expected;
};

const primary_row kPrimaryRows[] = {
  { "a read", { proxy::statement_kind::kRead }, true },
  { "a change, which only a primary takes",
    { proxy::statement_kind::kWrite },
    false },
  { "a transaction that reads",
    { proxy::statement_kind::kBeginReadOnly, proxy::statement_kind::kRead },
    true },
  { "a transaction that may write",
    { proxy::statement_kind::kBegin, proxy::statement_kind::kRead },
    false },
};

} // namespace

TEST(restarted_servers, receive_the_floor_of_a_read_of_the_primary)
{
  for (const auto& row : kPrimaryRows) {
    one_vm vm;
    recording_caller caller;
    const auto session = vm.engine.Open("claims", caller);
    for (const auto kind : row.asked) {
      vm.Ask(*session, kind, "READ 1");
    }
    vm.Pass(50ms);
    CHECK_TEXT(vm.HasWork("a"), row.name);
    const auto& floor = vm.servers.last.floor;
    CHECK_TEXT(floor.has_value() == row.expected, row.name);
    CHECK_TEXT(!floor || *floor == (position::log_position{ 1, 5 }), row.name);
  }
}

TEST(restarted_servers, that_lack_the_floor_lose_the_leadership)
{
  one_vm vm;
  recording_caller caller;
  const auto session = vm.engine.Open("claims", caller);
  vm.Ask(*session, proxy::statement_kind::kRead, "READ 1");
  vm.Pass(50ms);
  proxy::answer lacking;
  lacking.position = position::log_position{ 1, 0 };
  lacking.failed = proxy::failure{ proxy::failure_code::kLagging, "" };
  vm.servers.listeners["a"]->Answered(lacking, vm.now);
  const auto sent = vm.servers.sent["a"].size();
  vm.Pass(500ms);
  CHECK_EQUAL(sent, vm.servers.sent["a"].size());
  CHECK(!caller.lastAnswer);
  vm.engine.Confirm("claims", { 2, "b", vm.now }, vm.now);
  vm.Pass(100ms);
  CHECK(vm.HasWork("b"));
}
