#include "currantshed/pooler/guard_set.hpp"

#include <chrono>
#include <utility>

#include "currantshed/log/log.hpp"

namespace currantshed::pooler {

namespace {

/// How long a group that is no longer owned keeps its guard.
constexpr std::chrono::milliseconds kReleaseGrace{ 2000 };

} // namespace

guard_set::guard_set(const group_guard::surroundings& aSurroundings,
                     group_guard::listener aListener)
  : mSurroundings(aSurroundings)
  , mListener(std::move(aListener))
  , mOwnership(kReleaseGrace)
{
}

void
guard_set::Assign(const std::vector<owned_group>& aGroups,
                  clock::time_point aNow)
{
  std::vector<group::group_name> names;
  for (const auto& owned : aGroups) {
    names.push_back(owned.group.name);
    auto& guard = mGuards[owned.group.name];
    if (!guard) {
      guard = std::make_unique<group_guard>(
        mSurroundings, owned.group.name, owned.rank, owned.owners, mListener);
    }
    guard->Configure(owned.group, owned.rank, owned.owners);
  }
  mOwnership.Assign(names, aNow);
}

void
guard_set::Heard(const member::heartbeat& aBeat)
{
  for (auto& [name, guard] : mGuards) {
    guard->Heard(aBeat);
  }
}

void
guard_set::Release(clock::time_point aNow)
{
  const auto hasNone = [](const group::group_name&) { return false; };
  for (const auto& name : mOwnership.Release(hasNone, aNow)) {
    mGuards.erase(name);
    log::Write(
      log::level::kInfo, "group_no_longer_owned", { { "group", name } });
  }
}

std::vector<member::term_update>
guard_set::News() const
{
  std::vector<member::term_update> news;
  for (const auto& [name, guard] : mGuards) {
    news.push_back(guard->News());
  }
  return news;
}

} // namespace currantshed::pooler
