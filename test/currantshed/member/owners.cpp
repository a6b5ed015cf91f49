#include <algorithm>
#include <string>
#include <vector>

#include "currantshed/member/membership.hpp"

#include <CppUTest/TestHarness.h>

namespace {

using currantshed::member::ChooseOwners;
using currantshed::store::vm;

struct vm_row
{
  const char* id;
  const char* domain;
  bool leaving;
};

struct owners_row
{
  const char* name;
  std::vector<vm_row> vms;
  unsigned owners;
  std::size_t expectCount;
  std::size_t expectDomains;
};

const owners_row kOwnersRows[] = {
  { "no VM, no owner", {}, 3, 0, 0 },
  { "one VM owns alone", { { "a", "x", false } }, 3, 1, 1 },
  { "domains first",
    { { "a", "x", false },
      { "b", "x", false },
      { "c", "x", false },
      { "d", "y", false },
      { "e", "z", false } },
    3,
    3,
    3 },
  { "fewer domains than owners",
    { { "a", "x", false }, { "b", "x", false }, { "c", "y", false } },
    3,
    3,
    2 },
  { "a leaving VM owns nothing",
    { { "a", "x", false }, { "b", "y", true }, { "c", "z", false } },
    3,
    2,
    2 },
  { "all are leaving", { { "a", "x", true }, { "b", "y", true } }, 3, 0, 0 },
};

std::vector<vm>
MakeVms(const std::vector<vm_row>& aRows)
{
  std::vector<vm> vms;
  for (const auto& row : aRows) {
    vm made;
    made.id = row.id;
    made.failureDomain = row.domain;
    made.leaving = row.leaving;
    vms.push_back(made);
  }
  return vms;
}

std::size_t
CountDomains(const std::vector<vm>& aVms)
{
  std::vector<std::string> seen;
  for (const auto& vm : aVms) {
    bool known = false;
    for (const auto& domain : seen) {
      known = known || domain == vm.failureDomain;
    }
    if (!known) {
      seen.push_back(vm.failureDomain);
    }
  }
  return seen.size();
}

} // namespace

TEST_GROUP(owners){};

TEST(owners, chosen)
{
  for (const auto& row : kOwnersRows) {
    for (const auto* group : { "claimsbook-1", "claimsbook-2", "planner-3" }) {
      const auto owners = ChooseOwners(group, MakeVms(row.vms), row.owners);
      UNSIGNED_LONGS_EQUAL_TEXT(row.expectCount, owners.size(), row.name);
      UNSIGNED_LONGS_EQUAL_TEXT(
        row.expectDomains, CountDomains(owners), row.name);
      for (const auto& owner : owners) {
        CHECK_FALSE_TEXT(owner.leaving, row.name);
      }
    }
  }
}

TEST(owners, order_of_the_list_does_not_matter)
{
  auto vms = MakeVms(kOwnersRows[2].vms);
  const auto first = ChooseOwners("claimsbook-1", vms, 3);
  std::vector<vm> reversed(vms.rbegin(), vms.rend());
  CHECK(first == ChooseOwners("claimsbook-1", reversed, 3));
}

// The owner of a seat changes only if the VM that left or came is concerned.
TEST(owners, a_vm_that_goes_moves_only_its_own_seats)
{
  std::vector<vm> vms;
  vms.reserve(30);
  for (int number = 0; number < 30; ++number) {
    vm made;
    made.id = "vm-" + std::to_string(number);
    made.failureDomain = std::string(1, "xyz"[number % 3]);
    vms.push_back(made);
  }
  const auto gone = vms[7];
  auto left = vms;
  left.erase(left.begin() + 7);
  for (int group = 0; group < 50; ++group) {
    const auto name = "group-" + std::to_string(group);
    const auto before = ChooseOwners(name, vms, 3);
    const auto after = ChooseOwners(name, left, 3);
    for (const auto& owner : before) {
      const bool kept =
        std::find(after.begin(), after.end(), owner) != after.end();
      CHECK_TEXT(kept || owner.id == gone.id, name.c_str());
    }
  }
}
