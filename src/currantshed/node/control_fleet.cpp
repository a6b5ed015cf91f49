#include "currantshed/node/control.hpp"

#include <algorithm>
#include <utility>

#include <absl/container/flat_hash_set.h>

#include "currantshed/log/log.hpp"
#include "currantshed/proxy/delegate_selection.hpp"

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// How long a VM that starts counts on others that are recorded but not listed:
// VMs that lost power together are back within a second of each other. Also
// how long the fleet must stay the same before it is recorded.
constexpr milliseconds kFleetSettling{ 2000 };

} // namespace

// Takes over which VMs there are, listed or recorded.
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

// The VM that holds the first group's duty records the fleet once it has
// stayed as it is for a while.
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

// A store that has come back may list few VMs and an old record, though all
// run: whoever shared by those alone would take more than its part.
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

// Takes over who is listed, and whom that leaves to be sent to.
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

// In which order the VMs ask for proofs of a group that nobody watches.
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

// Whether the store has taken this VM off the list by now, as far as it can
// tell: its way to the store is cut, or the store is away.
bool
control::IsOffTheList(clock::time_point aNow) const
{
  return mListedAt != clock::time_point{} && aNow >= mRegistration.ValidUntil();
}

// Whether it is so long that whoever holds a duty may soon forget this VM.
bool
control::IsLongOffTheList(clock::time_point aNow) const
{
  return IsOffTheList(aNow) &&
         aNow >= mRegistration.ValidUntil() + vm_membership::kRetention / 2;
}

} // namespace currantshed::node
