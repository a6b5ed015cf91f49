#include "currantshed/node/lock_assignments.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

#include "currantshed/member/owners.hpp"
#include "currantshed/proxy/delegate_selection.hpp"

namespace currantshed::node {

absl::btree_set<std::string>
LockCandidates(const cluster_state& aState)
{
  std::vector<proxy::vm_capacity> capacities;
  capacities.reserve(aState.vms.size());
  for (const auto& [name, one] : aState.vms) {
    const auto& record = one.record;
    capacities.push_back(
      { record.failureDomain, record.cpuMillicores, record.draining });
  }
  const auto delegates = proxy::SelectDelegates(capacities);
  absl::btree_set<std::string> candidates;
  std::size_t place = 0;
  for (const auto& [name, one] : aState.vms) {
    if (delegates[place++]) {
      candidates.insert(candidates.end(), name);
    }
  }
  return candidates;
}

lock_assignments::lock_assignments(std::string aSelf)
  : mSelf(std::move(aSelf))
{
}

void
lock_assignments::AddService(const cluster_state& aState,
                             const std::string& aService)
{
  const auto [place, isNew] = mGroups.try_emplace(aService);
  if (!isNew) {
    return;
  }
  mVacant.insert(aService);
  Choose(aService, place->second);
  OnLockChanged(aState, aService);
}

void
lock_assignments::SetCandidates(const cluster_state& aState,
                                absl::btree_set<std::string> aCandidates)
{
  const auto before = std::exchange(mCandidates, std::move(aCandidates));
  std::vector<std::string> added;
  std::vector<std::string> removed;
  std::set_difference(mCandidates.begin(),
                      mCandidates.end(),
                      before.begin(),
                      before.end(),
                      std::back_inserter(added));
  std::set_difference(before.begin(),
                      before.end(),
                      mCandidates.begin(),
                      mCandidates.end(),
                      std::back_inserter(removed));
  if (added.empty() && removed.empty()) {
    return;
  }
  for (const auto& service : mVacant) {
    UpdateBest(service, added);
  }
  for (const auto* vms : { &added, &removed }) {
    for (const auto& vm : *vms) {
      OnVmChanged(aState, vm);
    }
  }
}

void
lock_assignments::OnVmChanged(const cluster_state& aState,
                              const std::string& aVm)
{
  const auto held = mByHolder.find(aVm);
  if (held == mByHolder.end()) {
    return;
  }
  for (const auto& service : held->second) {
    UpdateHeld(aState, service, mGroups.at(service));
  }
}

void
lock_assignments::OnLockChanged(const cluster_state& aState,
                                const std::string& aService)
{
  const auto found = mGroups.find(aService);
  if (found == mGroups.end()) {
    return;
  }
  const auto lock = aState.locks.find(aService);
  SetHolder(aService,
            found->second,
            lock == aState.locks.end() ? std::string()
                                       : lock->second.record.holder);
  UpdateHeld(aState, aService, found->second);
  MarkChanged(aService, found->second);
}

void
lock_assignments::OnAllChanged(const cluster_state& aState)
{
  for (const auto& [service, one] : mGroups) {
    OnLockChanged(aState, service);
  }
}

bool
lock_assignments::IsNextHolder(const std::string& aService) const
{
  const auto found = mGroups.find(aService);
  return found != mGroups.end() && found->second.best &&
         found->second.best->vm == mSelf;
}

bool
lock_assignments::IsHeld(const std::string& aService) const
{
  const auto found = mGroups.find(aService);
  return found != mGroups.end() && found->second.isHeld;
}

std::vector<std::string>
lock_assignments::Holders() const
{
  std::vector<std::string> holders;
  holders.reserve(mByHolder.size());
  for (const auto& [vm, services] : mByHolder) {
    holders.push_back(vm);
  }
  return holders;
}

absl::btree_set<std::string>
lock_assignments::TakeChangedGroups()
{
  return std::exchange(mChanged, {});
}

// Updates the candidate for a vacant lock after VMs were added or removed. All
// candidates are examined only if the selected one was removed.
void
lock_assignments::UpdateBest(const std::string& aService,
                             const std::vector<std::string>& aAdded)
{
  auto& group = mGroups.at(aService);
  const bool isRemoved = group.best && !mCandidates.contains(group.best->vm);
  if (isRemoved) {
    Choose(aService, group);
    MarkChanged(aService, group);
    return;
  }
  for (const auto& vm : aAdded) {
    Compare(aService, group, vm);
  }
}

// Selects the VM if its score is higher, or if its name sorts first among equal
// scores.
void
lock_assignments::Compare(const std::string& aService,
                          group& aGroup,
                          const std::string& aVm)
{
  ++mScored;
  const auto score = member::OwnerScore(aService, aVm);
  const auto& best = aGroup.best;
  if (!best || score > best->score ||
      (score == best->score && aVm < best->vm)) {
    const bool isOwn = aVm == mSelf || (best && best->vm == mSelf);
    aGroup.best = { score, aVm };
    if (isOwn) {
      MarkChanged(aService, aGroup);
    }
  }
}

void
lock_assignments::Choose(const std::string& aService, group& aGroup)
{
  aGroup.best.reset();
  for (const auto& vm : mCandidates) {
    Compare(aService, aGroup, vm);
  }
}

void
lock_assignments::UpdateHeld(const cluster_state& aState,
                             const std::string& aService,
                             group& aGroup)
{
  const bool isHeld =
    mCandidates.contains(aGroup.holder) && IsLockHeld(aState, aService);
  if (std::exchange(aGroup.isHeld, isHeld) == isHeld) {
    return;
  }
  if (isHeld) {
    mVacant.erase(aService);
    aGroup.best.reset();
  } else {
    mVacant.insert(aService);
    Choose(aService, aGroup);
  }
  MarkChanged(aService, aGroup);
}

void
lock_assignments::SetHolder(const std::string& aService,
                            group& aGroup,
                            const std::string& aHolder)
{
  if (aGroup.holder == aHolder) {
    return;
  }
  const auto before = mByHolder.find(aGroup.holder);
  if (before != mByHolder.end()) {
    before->second.erase(aService);
    if (before->second.empty()) {
      mByHolder.erase(before);
    }
  }
  aGroup.holder = aHolder;
  if (!aHolder.empty()) {
    mByHolder[aHolder].insert(aService);
  }
}

void
lock_assignments::MarkChanged(const std::string& aService, const group& aGroup)
{
  mChanged.insert(aService);
  const bool isNext = aGroup.best && aGroup.best->vm == mSelf;
  if (isNext || aGroup.holder == mSelf) {
    mOwn.insert(aService);
  } else {
    mOwn.erase(aService);
  }
}

} // namespace currantshed::node
