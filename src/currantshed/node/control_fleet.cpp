#include "currantshed/node/control.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include "currantshed/log/log.hpp"
#include "currantshed/proxy/strength.hpp"

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// How long a VM that starts counts on others that are recorded but not listed:
// VMs that lost power together are back within a second of each other. Also
// how long the fleet must stay the same before it is recorded.
constexpr milliseconds kFleetSettling{ 2000 };

// A number from 0 to below 1 that differs by group and VM, the same everywhere.
double
PlaceOf(const std::string& aService, const std::string& aVm)
{
  const auto text = absl::StrCat(aService, "\n", aVm);
  const auto hash = XXH3_64bits(text.data(), text.size());
  return std::ldexp(static_cast<double>(hash >> 11U), -53);
}

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
  std::vector<proxy::vm_strength> strengths;
  strengths.reserve(vms.size());
  for (const auto& one : vms) {
    strengths.push_back({ one.failureDomain, one.processorShare, one.leaving });
  }
  const auto works = proxy::WorkForOthers(strengths);
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
                     mGroups.begin()->second->lead.HoldsDuty() &&
                     ReachesStore();
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
  made.conditions.push_back(
    { FleetKey(), { mOwnView.Seen().era, mOwnKeys.fleetChanged.number } });
  made.puts.push_back({ FleetKey(), PrintFleet(listed), {}, {} });
  mStore.Commit(
    std::move(made),
    [vms = listed.size()](
      store::commit_outcome aOutcome, store::revision, store::call_answer) {
      log::Write(log::level::kInfo,
                 "fleet_recorded",
                 { { "vms", static_cast<std::int64_t>(vms) },
                   { "outcome", static_cast<std::int64_t>(aOutcome) } });
    });
}

// A store that has come back may list few VMs and an old record, though all
// run: whoever shared by those alone would take more than its part.
void
control::KeepFormer(const own_keys& aBefore, clock::time_point aNow)
{
  const auto era = mOwnView.Seen().era;
  if (std::exchange(mOwnEra, era) != era) {
    mFormer = aBefore.Listed();
    mFormer.insert(mFormer.end(), aBefore.fleet.begin(), aBefore.fleet.end());
    mIsSettled = false;
    mSettledAt = aNow + kFleetSettling;
  }
  if (!mFormer.empty()) {
    AddRecorded(mOwnKeys, mFormer);
  }
}

// Takes over who is listed, and whom that leaves to be sent to.
void
control::NoteVms(clock::time_point aNow)
{
  std::vector<news::peer> listed;
  for (const auto& [name, one] : mOwnKeys.vms) {
    listed.push_back(one.record.where);
  }
  mKnownVms.Listed(listed, aNow);
  auto peers = mKnownVms.Reachable(aNow);
  const auto recorded = WithRecorded();
  for (const auto& entry : recorded.vms) {
    const auto& where = entry.second.record.where;
    const bool isKnown =
      std::any_of(peers.begin(), peers.end(), [&where](const auto& aPeer) {
        return aPeer.vm == where.vm;
      });
    if (!isKnown) {
      peers.push_back(where);
    }
  }
  mNews.SetPeers(peers);
}

// In which order the VMs ask for proofs of a group that nobody watches.
void
control::SetPlaces(clock::time_point aNow)
{
  const auto vms = mKnownVms.Reachable(aNow).size() + 1;
  const bool isRelayed = IsRelayed(aNow);
  for (auto& [service, one] : mGroups) {
    one->lead.SetPlace(vms, PlaceOf(service, mSelf.where.vm));
    one->lead.SetIsRelayed(isRelayed);
  }
}

// Whether the store has taken this VM off the list by now, as far as it can
// tell: its way to the store is cut, or the store is away.
bool
control::IsOffTheList(clock::time_point aNow) const
{
  return mListedAt != clock::time_point{} && aNow >= mRegistration.ValidUntil();
}

} // namespace currantshed::node
