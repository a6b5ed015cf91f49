#include "currantshed/pooler/group_monitors.hpp"

#include <chrono>
#include <utility>

#include "currantshed/log/log.hpp"

namespace currantshed::pooler {

namespace {

/// Time for which the monitor of a group that is no longer owned is kept.
constexpr std::chrono::milliseconds kReleaseGrace{ 2000 };

} // namespace

group_monitors::group_monitors(const group_monitor::dependencies& aDependencies,
                               group_monitor::listener aListener)
  : mDependencies(aDependencies)
  , mListener(std::move(aListener))
  , mOwnership(kReleaseGrace)
{
}

void
group_monitors::Assign(const std::vector<owned_group>& aGroups,
                       clock::time_point aNow)
{
  std::vector<group::group_name> names;
  for (const auto& owned : aGroups) {
    names.push_back(owned.group.name);
    auto& monitor = mMonitors[owned.group.name];
    if (!monitor) {
      monitor = std::make_unique<group_monitor>(
        mDependencies, owned.group.name, owned.rank, owned.owners, mListener);
    }
    monitor->Configure(owned.group, owned.rank, owned.owners);
  }
  mOwnership.Assign(names, aNow);
}

void
group_monitors::OnHeartbeat(const member::heartbeat& aBeat)
{
  for (auto& [name, monitor] : mMonitors) {
    monitor->OnHeartbeat(aBeat);
  }
}

void
group_monitors::ReleaseExpired(clock::time_point aNow)
{
  const auto hasNone = [](const group::group_name&) { return false; };
  for (const auto& name : mOwnership.ReleaseExpired(hasNone, aNow)) {
    mMonitors.erase(name);
    log::Write(
      log::level::kInfo, "group_no_longer_owned", { { "group", name } });
  }
}

std::vector<member::term_update>
group_monitors::LatestTerm() const
{
  std::vector<member::term_update> terms;
  for (const auto& [name, monitor] : mMonitors) {
    terms.push_back(monitor->LatestTerm());
  }
  return terms;
}

} // namespace currantshed::pooler
