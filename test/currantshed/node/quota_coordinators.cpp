#include "currantshed/node/quota_coordinators.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;

namespace {

struct group_of_vms
{
  std::size_t count;
  unsigned cpuMillicores;
  bool draining;
};

struct coordinators_row
{
  const char* name;
  std::vector<group_of_vms> vms;
  std::size_t expect;
  /// CPU time, in thousandths of a core, of the expected coordinators.
  unsigned cpuMillicores;
};

const coordinators_row kRows[] = {
  { "nobody", {}, 0, 0 },
  { "a single VM", { { 1, 250, false } }, 1, 250 },
  { "equal capacities", { { 9, 250, false } }, 4, 250 },
  { "high-capacity VMs first",
    { { 20, 120, false }, { 2, 500, false } },
    2,
    500 },
  { "draining high-capacity VMs",
    { { 3, 120, false }, { 2, 500, true } },
    3,
    120 },
};

node::cluster_state
MakeState(const std::vector<group_of_vms>& aVms)
{
  node::cluster_state state;
  std::size_t number = 0;
  for (const auto& some : aVms) {
    for (std::size_t i = 0; i < some.count; ++i) {
      node::vm_record record;
      record.where.vm = "vm-" + std::to_string(++number);
      record.failureDomain = "north";
      record.cpuMillicores = some.cpuMillicores;
      record.draining = some.draining;
      state.vms[record.where.vm] = { record, 1 };
    }
  }
  return state;
}

} // namespace

TEST_GROUP(quota_coordinators){};

TEST(quota_coordinators, A_few_high_capacity_VMs_of_the_domain)
{
  for (const auto& row : kRows) {
    const auto state = MakeState(row.vms);
    const auto chosen = node::QuotaCoordinators(state, "north");
    LONGS_EQUAL_TEXT(row.expect, chosen.size(), row.name);
    for (const auto& vm : chosen) {
      const auto cpuMillicores = state.vms.at(vm).record.cpuMillicores;
      LONGS_EQUAL_TEXT(row.cpuMillicores, cpuMillicores, row.name);
    }
    CHECK_TEXT(node::QuotaCoordinators(state, "south").empty(), row.name);
  }
}
