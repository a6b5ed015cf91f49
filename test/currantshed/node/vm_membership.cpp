#include "currantshed/node/vm_membership.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using node::vm_membership;

namespace {

const clock::time_point kStart{ 1h };

news::peer
Peer(const std::string& aName)
{
  return { aName, "10.0.0.1", 7440 };
}

enum class step_kind
{
  kListed,
  kHeard,
};

struct step
{
  std::chrono::milliseconds at;
  step_kind kind;
  std::vector<std::string> vms;
};

struct row
{
  const char* name;
  std::vector<step> given;
  std::chrono::milliseconds when;
  /// Expected result of Reachable and of MayUseConfirmation.
  std::vector<std::string> reachable;
  std::vector<std::string> mayUse;
};

const row kRows[] = {
  { "all listed VMs except itself",
    { { 0ms, step_kind::kListed, { "a", "b", "self" } } },
    60000ms,
    { "a", "b" },
    { "a", "b" } },
  { "a VM that is no longer listed but sends messages remains reachable",
    { { 0ms, step_kind::kListed, { "a", "b" } },
      { 2000ms, step_kind::kListed, { "a" } },
      { 20000ms, step_kind::kHeard, { "b" } } },
    22000ms,
    { "a", "b" },
    { "a", "b" } },
  { "a silent VM that is no longer listed may still use a confirmation",
    { { 0ms, step_kind::kListed, { "a", "b" } },
      { 2000ms, step_kind::kListed, { "a" } } },
    8000ms,
    { "a" },
    { "a", "b" } },
  { "a VM that was silent for long is removed",
    { { 0ms, step_kind::kListed, { "a", "b" } },
      { 2000ms, step_kind::kListed, { "a" } } },
    17001ms,
    { "a" },
    { "a" } },
  { "a VM that was never listed may use a confirmation without being reachable",
    { { 0ms, step_kind::kListed, { "a" } },
      { 1000ms, step_kind::kHeard, { "c" } } },
    2000ms,
    { "a" },
    { "a", "c" } },
  { "retention begins when a VM is dropped from the list",
    { { 0ms, step_kind::kListed, { "a", "b" } },
      { 60000ms, step_kind::kListed, { "a" } } },
    61000ms,
    { "a" },
    { "a", "b" } },
};

std::vector<std::string>
Names(const std::vector<news::peer>& aPeers)
{
  std::vector<std::string> names;
  names.reserve(aPeers.size());
  for (const auto& one : aPeers) {
    names.push_back(one.vm);
  }
  return names;
}

} // namespace

TEST_GROUP(vm_membership){};

TEST(vm_membership,
     reaches_vms_heard_recently_and_counts_those_that_may_use_a_confirmation)
{
  for (const auto& row : kRows) {
    vm_membership membership("self");
    for (const auto& step : row.given) {
      if (step.kind == step_kind::kListed) {
        std::vector<news::peer> listed;
        listed.reserve(step.vms.size());
        for (const auto& name : step.vms) {
          listed.push_back(Peer(name));
        }
        membership.SetListed(listed, kStart + step.at);
      } else {
        membership.OnMessage(step.vms.front(), kStart + step.at);
      }
    }
    const auto now = kStart + row.when;
    CHECK_TEXT(Names(membership.Reachable(now)) == row.reachable, row.name);
    CHECK_TEXT(membership.MayUseConfirmation(now) == row.mayUse, row.name);
  }
}

// In a large fleet the holder of a failover lock gets messages from most VMs.
// It must answer only those that sent a reach update.
TEST(vm_membership,
     only_vms_that_sent_reach_updates_directly_expect_watch_updates)
{
  vm_membership membership("self");
  membership.SetListed({ Peer("a"), Peer("b") }, kStart);
  membership.OnMessage("a", kStart);
  membership.OnMessage("b", kStart);
  membership.OnDirectReachUpdate("b", kStart);
  CHECK_FALSE(membership.SendsDirectReachUpdates("a", kStart + 1s));
  CHECK(membership.SendsDirectReachUpdates("b", kStart + 1s));
  CHECK_FALSE(membership.SendsDirectReachUpdates("b", kStart + 4500ms));
}
