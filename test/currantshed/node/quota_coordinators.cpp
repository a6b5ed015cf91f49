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
  bool leaving;
};

struct collectors_row
{
  const char* name;
  std::vector<group_of_vms> vms;
  std::size_t expect;
  /// What those that are chosen have of a core.
  unsigned cpuMillicores;
};

const collectors_row kRows[] = {
  { "nobody", {}, 0, 0 },
  { "one alone", { { 1, 250, false } }, 1, 250 },
  { "all alike", { { 9, 250, false } }, 4, 250 },
  { "strong ones first", { { 20, 120, false }, { 2, 500, false } }, 2, 500 },
  { "strong ones that leave", { { 3, 120, false }, { 2, 500, true } }, 3, 120 },
};

node::cluster_state
Keys(const std::vector<group_of_vms>& aVms)
{
  node::cluster_state keys;
  std::size_t number = 0;
  for (const auto& some : aVms) {
    for (std::size_t i = 0; i < some.count; ++i) {
      node::vm_record record;
      record.where.vm = "vm-" + std::to_string(++number);
      record.failureDomain = "north";
      record.cpuMillicores = some.cpuMillicores;
      record.leaving = some.leaving;
      keys.vms[record.where.vm] = { record, 1 };
    }
  }
  return keys;
}

} // namespace

TEST_GROUP(quota_coordinators){};

TEST(quota_coordinators, A_few_strong_VMs_of_the_domain)
{
  for (const auto& row : kRows) {
    const auto keys = Keys(row.vms);
    const auto chosen = node::QuotaCoordinators(keys, "north");
    LONGS_EQUAL_TEXT(row.expect, chosen.size(), row.name);
    for (const auto& vm : chosen) {
      const auto share = keys.vms.at(vm).record.cpuMillicores;
      LONGS_EQUAL_TEXT(row.cpuMillicores, share, row.name);
    }
    CHECK_TEXT(node::QuotaCoordinators(keys, "south").empty(), row.name);
  }
}
