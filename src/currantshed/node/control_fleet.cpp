#include "currantshed/node/control.hpp"

#include <algorithm>
#include <utility>

#include "currantshed/log/log.hpp"

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// How long a VM that starts counts on others that are recorded but not listed:
// VMs that lost power together are back within a second of each other. Also
// how long the fleet must stay the same before it is recorded.
constexpr milliseconds kFleetSettling{ 2000 };
// A VM that was listed or heard this lately may still rest on a proof, whatever
// the store says of it: its key may have been taken away unseen.
constexpr milliseconds kVmMemory{ 15000 };

} // namespace

// Traffic shares connections with the VMs that are listed, and for a while
// after the start also with those that were.
void
control::TellFleet(clock::time_point aNow)
{
  if (!mSettledAt) {
    mSettledAt = aNow + kFleetSettling;
  }
  auto vms = mOwnKeys.Listed();
  if (!mIsSettled) {
    for (const auto& one : mOwnKeys.fleet) {
      if (!mOwnKeys.vms.contains(one.where.vm)) {
        vms.push_back(one);
      }
    }
  }
  std::vector<proxy::fleet_vm> fleet;
  fleet.reserve(vms.size());
  for (const auto& one : vms) {
    fleet.push_back({ one.where.vm,
                      one.failureDomain,
                      one.where.address,
                      one.relayPort,
                      one.leaving });
  }
  mTraffic.SetFleet(std::move(fleet));
}

// The VM that holds the first group's duty records the fleet once it has
// stayed as it is for a while.
void
control::KeepFleet(clock::time_point aNow)
{
  const bool isDue = !mGroups.empty() &&
                     mGroups.begin()->second->lead.HoldsDuty() &&
                     mOwnView.IsReached();
  if (!isDue) {
    mFleetStaleSince.reset();
    return;
  }
  const auto listed = mOwnKeys.Listed();
  if (IsSameFleet(listed, mOwnKeys.fleet)) {
    mFleetStaleSince.reset();
    return;
  }
  if (!mFleetStaleSince) {
    mFleetStaleSince = aNow;
  }
  if (aNow - *mFleetStaleSince < kFleetSettling) {
    return;
  }
  mFleetStaleSince = aNow;
  store::transaction made;
  made.conditions.push_back({ FleetKey(), mOwnKeys.fleetChanged });
  made.puts.push_back({ FleetKey(), PrintFleet(listed), 0, 0 });
  mPlatform.store->Commit(
    std::move(made),
    [vms = listed.size()](
      store::commit_outcome aOutcome, store::revision, clock::time_point) {
      log::Write(log::level::kInfo,
                 "fleet_recorded",
                 { { "vms", static_cast<std::int64_t>(vms) },
                   { "outcome", static_cast<std::int64_t>(aOutcome) } });
    });
}

void
control::NoteVms(clock::time_point aNow)
{
  for (const auto& [name, one] : mOwnKeys.vms) {
    mKnownVms[name] = aNow;
  }
}

// The other VMs that are listed now, or were listed or heard lately.
std::vector<std::string>
control::KnownVms(clock::time_point aNow)
{
  NoteVms(aNow);
  std::vector<std::string> known;
  for (const auto& [name, at] : mKnownVms) {
    const auto heard = mNews.HeardAt(name).value_or(at);
    if (name != mSelf.where.vm && aNow - std::max(at, heard) < kVmMemory) {
      known.push_back(name);
    }
  }
  return known;
}

} // namespace currantshed::node
