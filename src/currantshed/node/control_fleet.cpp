#include "currantshed/node/control.hpp"

#include <algorithm>
#include <utility>

#include <absl/container/flat_hash_set.h>

#include "currantshed/log/log.hpp"
#include "currantshed/proxy/delegate_selection.hpp"

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// How long a VM that starts takes account of VMs that are recorded but not
// listed: VMs that lost power together are back within a second of each other.
// Also how long the fleet must be unchanged before it is recorded.
constexpr milliseconds kFleetSettling{ 2000 };

} // namespace

// Applies a change of the VMs that are listed or recorded.
void
control::FleetChanged(clock::time_point aNow)
{
  mIsFleetStale.reset();
  if (!mFormerVms.empty()) {
    MergeIntoFleet(mClusterState, mFormerVms);
  }
  UpdateMembership(aNow);
  UpdateForwarders(aNow);
  SetCheckRank();
  UpdateCoordinators();
  PublishFleet(aNow);
  UpdateQueryStagger(aNow);
}

// The traffic thread divides the servers' connections among the listed VMs, and
// for a while after the start also among the recorded ones.
void
control::PublishFleet(clock::time_point aNow)
{
  if (!mSettlesAt) {
    mSettlesAt = aNow + kFleetSettling;
  }
  auto vms = mClusterState.Listed();
  if (!mIsSettled) {
    for (const auto& one : mClusterState.fleet) {
      if (!mClusterState.vms.contains(one.where.vm)) {
        vms.push_back(one);
      }
    }
  }
  std::vector<proxy::vm_capacity> capacities;
  capacities.reserve(vms.size());
  for (const auto& one : vms) {
    capacities.push_back(
      { one.failureDomain, one.cpuMillicores, one.draining });
  }
  const auto delegates = proxy::SelectDelegates(capacities);
  std::vector<proxy::fleet_vm> fleet;
  fleet.reserve(vms.size());
  for (std::size_t i = 0; i < vms.size(); ++i) {
    const auto& one = vms[i];
    fleet.push_back({ one.where.vm,
                      one.failureDomain,
                      one.where.address,
                      one.relayPort,
                      one.draining,
                      delegates[i] });
    if (delegates[i] && one.where.vm == mSelf.where.vm) {
      mRegistration.SetLease(ShortLease());
    }
  }
  mTraffic.SetFleet(std::move(fleet));
}

// The holder of the first group's failover lock records the fleet once it has
// been unchanged for a while.
void
control::RecordFleet(clock::time_point aNow)
{
  const bool isDue = !mGroups.empty() &&
                     mGroups.begin()->second->monitor.HoldsFailoverLock() &&
                     ReachesStore();
  if (!isDue) {
    mFleetStaleSince.reset();
    return;
  }
  if (!mIsFleetStale) {
    mIsFleetStale = !IsSameFleet(mClusterState.Listed(), mClusterState.fleet);
  }
  if (!*mIsFleetStale) {
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
  const auto listed = mClusterState.Listed();
  store::transaction transaction;
  transaction.conditions.push_back(
    { FleetKey(),
      { mClusterView.Seen().era, mClusterState.fleetChanged.number } });
  transaction.puts.push_back({ FleetKey(), SerializeFleet(listed), {}, {} });
  mStore.Commit(
    std::move(transaction),
    [vms = listed.size()](
      store::commit_outcome aOutcome, store::revision, store::response_info) {
      log::Write(log::level::kInfo,
                 "fleet_recorded",
                 { { "vms", static_cast<std::int64_t>(vms) },
                   { "outcome", static_cast<std::int64_t>(aOutcome) } });
    });
}

// A restored store may list few VMs and an old fleet record although all VMs
// run. A VM that divided connections and rates by these alone would take more
// than its share.
void
control::UpdateEra(clock::time_point aNow)
{
  const auto era = mClusterView.Seen().era;
  if (std::exchange(mClusterEra, era) == era) {
    return;
  }
  mFormerVms = mClusterState.Listed();
  mFormerVms.insert(
    mFormerVms.end(), mClusterState.fleet.begin(), mClusterState.fleet.end());
  mIsSettled = false;
  mSettlesAt = aNow + kFleetSettling;
}

void
control::EndSettling(clock::time_point aNow)
{
  if (mIsSettled || !mSettlesAt || aNow < *mSettlesAt) {
    return;
  }
  mIsSettled = true;
  if (!mFormerVms.empty()) {
    mFormerVms.clear();
    ReloadFleet(mClusterState, mClusterView.Items());
    mIsFleetStale.reset();
  }
  PublishFleet(aNow);
  UpdateCoordinators();
}

// Updates which VMs are listed and which can be sent to.
void
control::UpdateMembership(clock::time_point aNow)
{
  std::vector<news::peer> listed;
  listed.reserve(mClusterState.vms.size());
  for (const auto& [name, one] : mClusterState.vms) {
    listed.push_back(one.record.where);
  }
  mMembership.SetListed(listed, aNow);
  auto peers = mMembership.Reachable(aNow);
  AddRecordedPeers(peers);
  mExchange.SetPeers(peers);
}

// For a while after the start, VMs that are recorded but not listed can be sent
// to as well.
void
control::AddRecordedPeers(std::vector<news::peer>& aTo) const
{
  if (mIsSettled) {
    return;
  }
  absl::flat_hash_set<std::string> known;
  for (const auto& one : aTo) {
    known.insert(one.vm);
  }
  for (const auto& one : mClusterState.fleet) {
    if (!known.contains(one.where.vm)) {
      aTo.push_back(one.where);
    }
  }
}

// Sets this VM's rank among the VMs that ask for confirmations of a group that
// no VM monitors.
void
control::UpdateQueryStagger(clock::time_point aNow)
{
  const auto vms = mMembership.CountReachable(aNow) + 1;
  const bool isForwarded = IsForwardedTo(aNow);
  for (auto& [service, one] : mGroups) {
    one->monitor.SetQueryStagger(vms, one->queryRank);
    one->monitor.SetIsForwarded(isForwarded);
  }
}

// Whether the store has removed this VM from the list by now, as far as the VM
// can tell: it is cut off from the store, or the store is unavailable.
bool
control::IsUnlisted(clock::time_point aNow) const
{
  return mListedAt != clock::time_point{} && aNow >= mRegistration.ValidUntil();
}

// Whether that has lasted so long that lock holders may soon forget this VM.
bool
control::IsLongUnlisted(clock::time_point aNow) const
{
  return IsUnlisted(aNow) &&
         aNow >= mRegistration.ValidUntil() + vm_membership::kRetention / 2;
}

} // namespace currantshed::node
