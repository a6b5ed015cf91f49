#include "currantshed/proxy/delegate_selection.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using proxy::vm_capacity;

namespace {

struct selection_row
{
  const char* name;
  std::vector<vm_capacity> vms;
  /// One letter a VM: y if it works for others.
  std::string works;
};

std::vector<vm_capacity>
Domain(unsigned aStrong, unsigned aWeak)
{
  std::vector<vm_capacity> vms(aStrong, { "marka", 500 });
  vms.insert(vms.end(), aWeak, { "marka", 120 });
  return vms;
}

std::vector<vm_capacity>
Leaving(std::vector<vm_capacity> aVms, std::size_t aWhich)
{
  aVms[aWhich].draining = true;
  return aVms;
}

const selection_row kRows[] = {
  { "no VM", {}, "" },
  { "one", { { "marka", 250 } }, "y" },
  { "all alike", Domain(0, 4), "yyyy" },
  { "a few strong ones", Domain(3, 4), "yyynnnn" },
  { "one strong one is not enough", Domain(1, 4), "yyyyy" },
  { "strong ones that leave don't count", Leaving(Domain(2, 3), 0), "nyyyy" },
  { "one of three strong ones leaves", Leaving(Domain(3, 2), 1), "ynynn" },
  { "strong ones that would do too much for others",
    Domain(2, 100),
    std::string(102, 'y') },
  { "half as strong as the strongest is strong",
    { { "marka", 500 }, { "marka", 250 }, { "marka", 249 } },
    "yyn" },
  { "each failure domain by itself",
    { { "marka", 500 },
      { "marka", 500 },
      { "marka", 120 },
      { "khalda", 120 },
      { "khalda", 120 } },
    "yynyy" },
  { "strength unknown", { { "marka", 0 }, { "marka", 0 } }, "yy" },
};

} // namespace

TEST_GROUP(delegate_selection){};

TEST(delegate_selection, high_capacity_vms_are_delegates_where_they_suffice)
{
  for (const auto& row : kRows) {
    std::string works;
    for (const bool one : proxy::SelectDelegates(row.vms)) {
      works += one ? 'y' : 'n';
    }
    STRCMP_EQUAL_TEXT(row.works.c_str(), works.c_str(), row.name);
  }
}
