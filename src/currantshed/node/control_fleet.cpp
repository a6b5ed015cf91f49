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
  if (!mFormer.empty()) {
    MergeIntoFleet(mOwnKeys, mFormer);
  }
  NoteVms(aNow);
  UpdateForwarders(aNow);
  SetCheckPlace();
  NoteCollectors();
  TellFleet(aNow);
  SetPlaces(aNow);
}

// The traffic thread divides the servers' connections among the listed VMs, and
// for a while after the start also among the recorded ones.
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
  std::vector<proxy::vm_capacity> strengths;
  strengths.reserve(vms.size());
  for (const auto& one : vms) {
    strengths.push_back({ one.failureDomain, one.cpuMillicores, one.leaving });
  }
  const auto works = proxy::SelectDelegates(strengths);
  std::vector<proxy::fleet_vm> fleet;
  fleet.reserve(vms.size());
  for (std::size_t i = 0; i < vms.size(); ++i) {
    const auto& one = vms[i];
    fleet.push_back({ one.where.vm,
                      one.failureDomain,
                      one.where.address,
                      one.relayPort,
                      one.leaving,
                      works[i] });
    if (works[i] && one.where.vm == mSelf.where.vm) {
      mRegistration.SetLease(ShortLease());
    }
  }
  mTraffic.SetFleet(std::move(fleet));
}

// The holder of the first group's failover lock records the fleet once it has
// been unchanged for a while.
void
control::KeepFleet(clock::time_point aNow)
{
  const bool isDue = !mGroups.empty() &&
                     mGroups.begin()->second->lead.HoldsFailoverLock() &&
                     ReachesStore();
  if (!isDue) {
    mFleetStaleSince.reset();
    return;
  }
  if (!mIsFleetStale) {
    mIsFleetStale = !IsSameFleet(mOwnKeys.Listed(), mOwnKeys.fleet);
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
  const auto listed = mOwnKeys.Listed();
  store::transaction made;
  made.conditions.push_back(
    { FleetKey(), { mOwnView.Seen().era, mOwnKeys.fleetChanged.number } });
  made.puts.push_back({ FleetKey(), SerializeFleet(listed), {}, {} });
  mStore.Commit(
    std::move(made),
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
control::NoteEra(clock::time_point aNow)
{
  const auto era = mOwnView.Seen().era;
  if (std::exchange(mOwnEra, era) == era) {
    return;
  }
  mFormer = mOwnKeys.Listed();
  mFormer.insert(mFormer.end(), mOwnKeys.fleet.begin(), mOwnKeys.fleet.end());
  mIsSettled = false;
  mSettledAt = aNow + kFleetSettling;
}

void
control::EndSettling(clock::time_point aNow)
{
  if (mIsSettled || !mSettledAt || aNow < *mSettledAt) {
    return;
  }
  mIsSettled = true;
  if (!mFormer.empty()) {
    mFormer.clear();
    ReloadFleet(mOwnKeys, mOwnView.Items());
    mIsFleetStale.reset();
  }
  TellFleet(aNow);
  NoteCollectors();
}

// Updates which VMs are listed and which can be sent to.
void
control::NoteVms(clock::time_point aNow)
{
  std::vector<news::peer> listed;
  listed.reserve(mOwnKeys.vms.size());
  for (const auto& [name, one] : mOwnKeys.vms) {
    listed.push_back(one.record.where);
  }
  mKnownVms.Listed(listed, aNow);
  auto peers = mKnownVms.Reachable(aNow);
  AddRecordedPeers(peers);
  mNews.SetPeers(peers);
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
  for (const auto& one : mOwnKeys.fleet) {
    if (!known.contains(one.where.vm)) {
      aTo.push_back(one.where);
    }
  }
}

// Sets this VM's rank among the VMs that ask for confirmations of a group that
// no VM monitors.
void
control::SetPlaces(clock::time_point aNow)
{
  const auto vms = mKnownVms.CountReachable(aNow) + 1;
  const bool isRelayed = IsRelayed(aNow);
  for (auto& [service, one] : mGroups) {
    one->lead.SetQueryStagger(vms, one->place);
    one->lead.SetIsForwarded(isRelayed);
  }
}

// Whether the store has removed this VM from the list by now, as far as the VM
// can tell: it is cut off from the store, or the store is unavailable.
bool
control::IsOffTheList(clock::time_point aNow) const
{
  return mListedAt != clock::time_point{} && aNow >= mRegistration.ValidUntil();
}

// Whether that has lasted so long that lock holders may soon forget this VM.
bool
control::IsLongOffTheList(clock::time_point aNow) const
{
  return IsOffTheList(aNow) &&
         aNow >= mRegistration.ValidUntil() + vm_membership::kRetention / 2;
}

} // namespace currantshed::node
