#include "currantshed/proxy/access_planner.hpp"

#include <algorithm>
#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;

namespace {

std::vector<proxy::fleet_vm>
Fleet(std::size_t aVms, std::size_t aDomains)
{
  std::vector<proxy::fleet_vm> fleet;
  for (std::size_t number = 0; number < aVms; ++number) {
    fleet.push_back({ "vm-" + std::to_string(number),
                      "domain-" + std::to_string(number % aDomains),
                      "10.0.0." + std::to_string(number),
                      7441,
                      false });
  }
  return fleet;
}

struct plan_row
{
  const char* name;
  std::size_t vms;
  std::size_t domains;
  std::size_t connections;
  /// VMs that hold connections.
  std::size_t holders;
};

constexpr plan_row kRows[] = {
  { "one VM has all", 1, 1, 16, 1 },
  { "connections for every VM", 7, 4, 55, 7 },
  { "few connections: one VM a failure domain", 9, 3, 16, 3 },
  { "many VMs", 83, 3, 25, 3 },
  { "many VMs, just enough for two each", 60, 5, 146, 5 },
  { "one failure domain: two VMs", 9, 1, 16, 2 },
  { "hardly any connections", 9, 3, 2, 3 },
};

} // namespace

TEST_GROUP(holders){};

TEST(holders, share_the_connections_a_server_accepts)
{
  for (const auto& row : kRows) {
    const auto fleet = Fleet(row.vms, row.domains);
    std::size_t holders = 0;
    std::size_t held = 0;
    for (const auto& vm : fleet) {
      const auto plan =
        proxy::PlanAccess("server", row.connections, fleet, vm.name);
      CHECK_TEXT(!plan.paths.empty(), row.name);
      holders += plan.isHolder ? 1 : 0;
      held += plan.isHolder ? plan.connections : 0;
      const auto direct =
        std::count_if(plan.paths.begin(),
                      plan.paths.end(),
                      [](const auto& aPath) { return aPath.IsDirect(); });
      CHECK_TEXT(direct == 1, row.name);
      // Holders go first themselves, others through their own domain.
      const bool first = plan.paths.front().IsDirect();
      CHECK_TEXT(first == plan.isHolder, row.name);
    }
    CHECK_TEXT(holders == row.holders, row.name);
    CHECK_TEXT(held <= std::max(row.connections, row.holders), row.name);
  }
}

TEST(holders, a_domain_relays_through_its_own_vm)
{
  const auto fleet = Fleet(9, 3);
  for (const auto& vm : fleet) {
    const auto plan = proxy::PlanAccess("server", 16, fleet, vm.name);
    if (plan.isHolder) {
      continue;
    }
    const auto& first = plan.paths.front().vm;
    const auto holder =
      std::find_if(fleet.begin(), fleet.end(), [&first](const auto& aVm) {
        return aVm.name == first;
      });
    CHECK(holder->failureDomain == vm.failureDomain);
  }
}

TEST(holders, a_draining_vm_holds_no_connections)
{
  auto fleet = Fleet(9, 3);
  std::set<std::string> before;
  for (auto& vm : fleet) {
    if (proxy::PlanAccess("server", 16, fleet, vm.name).isHolder) {
      before.insert(vm.name);
    }
  }
  for (auto& vm : fleet) {
    vm.draining = before.contains(vm.name);
  }
  for (const auto& vm : fleet) {
    const auto plan = proxy::PlanAccess("server", 16, fleet, vm.name);
    CHECK(!(plan.isHolder && vm.draining));
  }
}

TEST(holders, a_vm_without_a_fleet_opens_no_connections)
{
  const auto plan = proxy::PlanAccess("server", 16, {}, "vm-0");
  CHECK(plan.paths.empty());
  CHECK_FALSE(plan.isHolder);
}
