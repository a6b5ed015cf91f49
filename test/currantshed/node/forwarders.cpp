#include "currantshed/node/forwarders.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;

namespace {

struct listed
{
  std::string name;
  std::string failureDomain;
  bool draining = false;
};

std::vector<listed>
Domain(const std::string& aName, int aVms)
{
  std::vector<listed> vms;
  vms.reserve(static_cast<std::size_t>(aVms));
  for (int i = 0; i < aVms; ++i) {
    vms.push_back({ aName + std::to_string(i), aName });
  }
  return vms;
}

std::vector<listed>
Join(std::vector<listed> aLeft, const std::vector<listed>& aRight)
{
  aLeft.insert(aLeft.end(), aRight.begin(), aRight.end());
  return aLeft;
}

node::cluster_state
MakeState(const std::vector<listed>& aVms)
{
  node::cluster_state state;
  for (const auto& one : aVms) {
    auto& record = state.vms[one.name].record;
    record.where.vm = one.name;
    record.failureDomain = one.failureDomain;
    record.draining = one.draining;
  }
  return state;
}

struct forwarder_row
{
  const char* name;
  std::vector<listed> vms;
  std::size_t forwarders;
};

const forwarder_row kRows[] = {
  { "no VM", {}, 0 },
  { "too few VMs", Domain("marka", 4), 0 },
  { "the minimum", Domain("marka", 5), 2 },
  { "many", Domain("marka", 60), 2 },
  { "VMs of other failure domains don't count",
    Join(Domain("marka", 4), Domain("khalda", 60)),
    0 },
  { "draining VMs don't count",
    Join(Domain("marka", 4), { { "going", "marka", true } }),
    0 },
};

struct size_row
{
  const char* name;
  double linkMegabits;
  std::size_t maxBytes;
};

constexpr size_row kSizes[] = {
  { "a slow link", 20, 25000 },
  { "a fast link", 200, 65536 },
  { "a very fast link", 1000, 65536 },
};

} // namespace

TEST_GROUP(forwarders){};

TEST(forwarders, two_of_a_failure_domain_with_several_vms)
{
  for (const auto& row : kRows) {
    const auto chosen = node::SelectForwarders(MakeState(row.vms), "marka");
    CHECK_EQUAL_TEXT(row.forwarders, chosen.size(), row.name);
    for (const auto& one : chosen) {
      const auto found =
        std::find_if(row.vms.begin(), row.vms.end(), [&](const auto& aVm) {
          return aVm.name == one;
        });
      CHECK_TEXT(found != row.vms.end() && found->failureDomain == "marka" &&
                   !found->draining,
                 row.name);
    }
  }
}

TEST(forwarders, adding_or_removing_a_vm_changes_few)
{
  const auto all = Domain("marka", 20);
  const auto before = node::SelectForwarders(MakeState(all), "marka");
  for (std::size_t gone = 0; gone < all.size(); ++gone) {
    auto left = all;
    left.erase(left.begin() + static_cast<std::ptrdiff_t>(gone));
    const auto after = node::SelectForwarders(MakeState(left), "marka");
    for (const auto& one : before) {
      const bool isGone = one == all[gone].name;
      const bool isThere =
        std::find(after.begin(), after.end(), one) != after.end();
      CHECK(isGone != isThere);
    }
  }
}

// Guards against overloaded forwarders. In a simulation of 100 VMs, one failure
// domain had one VM with half a core and nineteen with 0.12 of a core, and
// low-capacity VMs were forwarders. One of them used 95.8 % of its CPU time and
// handled requests with a configuration that was 6 s old. With the
// high-capacity VM as the first forwarder, the low-capacity second one was
// overloaded instead: it was 126 ms late, all other VMs 0 to 50 ms.
TEST(forwarders, are_high_capacity_vms)
{
  struct row
  {
    const char* name;
    std::vector<unsigned> capacities;
    /// Expected number of forwarders, all of high capacity.
    std::size_t forwarders;
  };
  const row rows[] = {
    { "one", { 120, 120, 500, 120, 120, 120 }, 1 },
    { "two", { 120, 120, 500, 120, 400, 120 }, 2 },
    { "three", { 120, 500, 500, 120, 400, 120 }, 2 },
    { "equal capacities", { 120, 120, 120, 120, 120, 120 }, 2 },
  };
  for (const auto& row : rows) {
    // Other VM names in each round, so that the hash does not select a
    // high-capacity VM by chance.
    for (int turn = 0; turn < 20; ++turn) {
      const auto domain = "marka" + std::to_string(turn);
      auto vms = Domain(domain, static_cast<int>(row.capacities.size()));
      auto state = MakeState(vms);
      for (std::size_t i = 0; i < vms.size(); ++i) {
        state.vms[vms[i].name].record.cpuMillicores = row.capacities[i];
      }
      const auto chosen = node::SelectForwarders(state, domain);
      CHECK_EQUAL_TEXT(row.forwarders, chosen.size(), row.name);
      const auto maxCpuMillicores =
        *std::max_element(row.capacities.begin(), row.capacities.end());
      for (const auto& one : chosen) {
        const auto cpuMillicores = state.vms[one].record.cpuMillicores;
        CHECK_TEXT(2 * cpuMillicores >= maxCpuMillicores, row.name);
      }
    }
  }
}

// A message contains up to three updates, one for each followed prefix.
TEST(forwarders, updates_fit_into_one_message)
{
  constexpr std::size_t kMaxMessageBytes = std::size_t{ 256 } * 1024;
  for (const auto& row : kSizes) {
    CHECK_EQUAL_TEXT(
      row.maxBytes, node::MaxUpdateBytes(row.linkMegabits), row.name);
    CHECK_TEXT(3 * node::MaxUpdateBytes(row.linkMegabits) < kMaxMessageBytes,
               row.name);
  }
}
