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
  /// Which VMs are told news, and which may rest on a proof.
  std::vector<std::string> told;
  std::vector<std::string> mayRest;
};

const row kRows[] = {
  { "all that are listed, but not itself",
    { { 0ms, step_kind::kListed, { "a", "b", "self" } } },
    60000ms,
    { "a", "b" },
    { "a", "b" } },
  { "one that lost its key but speaks is told on",
    { { 0ms, step_kind::kListed, { "a", "b" } },
      { 2000ms, step_kind::kListed, { "a" } },
      { 20000ms, step_kind::kHeard, { "b" } } },
    22000ms,
    { "a", "b" },
    { "a", "b" } },
  { "one that lost its key and is silent is told no more, but counts on",
    { { 0ms, step_kind::kListed, { "a", "b" } },
      { 2000ms, step_kind::kListed, { "a" } } },
    8000ms,
    { "a" },
    { "a", "b" } },
  { "one that was silent for long is forgotten",
    { { 0ms, step_kind::kListed, { "a", "b" } },
      { 2000ms, step_kind::kListed, { "a" } } },
    17001ms,
    { "a" },
    { "a" } },
  { "one that was never listed here counts, though it can't be told",
    { { 0ms, step_kind::kListed, { "a" } },
      { 1000ms, step_kind::kHeard, { "c" } } },
    2000ms,
    { "a" },
    { "a", "c" } },
  { "how long it was listed counts, not when the list was last read",
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
    vm_membership known("self");
    for (const auto& step : row.given) {
      if (step.kind == step_kind::kListed) {
        std::vector<news::peer> listed;
        listed.reserve(step.vms.size());
        for (const auto& name : step.vms) {
          listed.push_back(Peer(name));
        }
        known.Listed(listed, kStart + step.at);
      } else {
        known.OnMessage(step.vms.front(), kStart + step.at);
      }
    }
    const auto now = kStart + row.when;
    CHECK_TEXT(Names(known.Reachable(now)) == row.told, row.name);
    CHECK_TEXT(known.MayUseConfirmation(now) == row.mayRest, row.name);
  }
}

// A holder of duties hears some word from most VMs of a large fleet, and
// answers those alone that told of a primary.
TEST(vm_membership,
     only_vms_that_sent_reach_updates_directly_expect_watch_updates)
{
  vm_membership known("self");
  known.Listed({ Peer("a"), Peer("b") }, kStart);
  known.OnMessage("a", kStart);
  known.OnMessage("b", kStart);
  known.OnDirectReachUpdate("b", kStart);
  CHECK_FALSE(known.SendsDirectReachUpdates("a", kStart + 1s));
  CHECK(known.SendsDirectReachUpdates("b", kStart + 1s));
  CHECK_FALSE(known.SendsDirectReachUpdates("b", kStart + 4500ms));
}
