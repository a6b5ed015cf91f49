#include "currantshed/pooler/latest_listing.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;

namespace {

struct listing_row
{
  const char* name;
  std::vector<store::listing> read;
  /// Whether the groups of each listing differ from the previous ones.
  std::vector<bool> differs;
};

store::listing
Lists(const std::vector<std::string>& aVms,
      const std::vector<group::description>& aGroups)
{
  store::listing listing;
  for (const auto& id : aVms) {
    listing.vms.emplace_back().id = id;
  }
  listing.groups = aGroups;
  return listing;
}

group::description
Group(const std::string& aName, bool aIsLeaving = false)
{
  group::description group;
  group.name = aName;
  group.members.emplace_back().id = aName + "-a";
  group.members.back().leaving = aIsLeaving;
  return group;
}

std::vector<listing_row>
ListingRows()
{
  const auto one = Lists({ "vm-1" }, { Group("g") });
  return {
    { "the first listing", { one }, { true } },
    { "the first listing is empty", { {} }, { true } },
    { "the same again", { one, one, one }, { true, false, false } },
    { "changed VMs only: handled by the membership",
      { one, Lists({ "vm-2" }, { Group("g") }) },
      { true, false } },
    { "an additional group",
      { one, Lists({ "vm-1" }, { Group("g"), Group("h") }) },
      { true, true } },
    { "a server that leaves",
      { one, Lists({ "vm-1" }, { Group("g", true) }) },
      { true, true } },
    { "back to the previous groups", { one, {}, one }, { true, true, true } },
  };
}

} // namespace

TEST_GROUP(latest_listing){};

TEST(latest_listing, reports_changed_groups)
{
  for (const auto& row : ListingRows()) {
    pooler::latest_listing latest;
    CHECK_FALSE_TEXT(latest.HasAny(), row.name);
    std::vector<bool> differs;
    for (const auto& read : row.read) {
      differs.push_back(latest.Update(read));
      CHECK_TEXT(latest.Current().vms == read.vms, row.name);
      CHECK_TEXT(latest.Current().groups == read.groups, row.name);
    }
    CHECK_TEXT(differs == row.differs, row.name);
    CHECK_TEXT(latest.HasAny(), row.name);
  }
}
