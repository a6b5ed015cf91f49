#include "currantshed/node/lock_assignments.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

#include "currantshed/member/owners.hpp"
#include "currantshed/proxy/delegate_selection.hpp"

namespace currantshed::node {

absl::btree_set<std::string>
LockCandidates(const cluster_state& aKeys)
{
  std::vector<proxy::vm_capacity> strengths;
  strengths.reserve(aKeys.vms.size());
  for (const auto& [name, one] : aKeys.vms) {
    const auto& record = one.record;
    strengths.push_back(
      { record.failureDomain, record.cpuMillicores, record.leaving });
  }
  const auto works = proxy::SelectDelegates(strengths);
  absl::btree_set<std::string> candidates;
  std::size_t place = 0;
  for (const auto& [name, one] : aKeys.vms) {
    if (works[place++]) {
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
lock_assignments::AddService(const cluster_state& aKeys,
                             const std::string& aService)
{
  const auto [place, isNew] = mGroups.try_emplace(aService);
  if (!isNew) {
    return;
  }
  mVacant.insert(aService);
  Choose(aService, place->second);
  OnLockChanged(aKeys, aService);
}

void
lock_assignments::SetCandidates(const cluster_state& aKeys,
                                absl::btree_set<std::string> aCandidates)
{
  const auto before = std::exchange(mCandidates, std::move(aCandidates));
  std::vector<std::string> come;
  std::vector<std::string> gone;
  std::set_difference(mCandidates.begin(),
                      mCandidates.end(),
                      before.begin(),
                      before.end(),
                      std::back_inserter(come));
  std::set_difference(before.begin(),
                      before.end(),
                      mCandidates.begin(),
                      mCandidates.end(),
                      std::back_inserter(gone));
  if (come.empty() && gone.empty()) {
    return;
  }
  for (const auto& service : mVacant) {
    Reconsider(service, come);
  }
  for (const auto* vms : { &come, &gone }) {
    for (const auto& vm : *vms) {
      OnVmChanged(aKeys, vm);
    }
  }
}

void
lock_assignments::OnVmChanged(const cluster_state& aKeys,
                              const std::string& aVm)
{
  const auto held = mByHolder.find(aVm);
  if (held == mByHolder.end()) {
    return;
  }
  for (const auto& service : held->second) {
    Recheck(aKeys, service, mGroups.at(service));
  }
}

void
lock_assignments::OnLockChanged(const cluster_state& aKeys,
                                const std::string& aService)
{
  const auto found = mGroups.find(aService);
  if (found == mGroups.end()) {
    return;
  }
  const auto duty = aKeys.locks.find(aService);
  SetHolder(aService,
            found->second,
            duty == aKeys.locks.end() ? std::string()
                                      : duty->second.record.holder);
  Recheck(aKeys, aService, found->second);
  Note(aService, found->second);
}

void
lock_assignments::OnAllChanged(const cluster_state& aKeys)
{
  for (const auto& [service, one] : mGroups) {
    OnLockChanged(aKeys, service);
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

// Who is to take a vacant group now that some VMs have come and others gone:
// all are looked at only where the one that was to take it has gone.
void
lock_assignments::Reconsider(const std::string& aService,
                             const std::vector<std::string>& aCome)
{
  auto& group = mGroups.at(aService);
  const bool isGone = group.best && !mCandidates.contains(group.best->vm);
  if (isGone) {
    Choose(aService, group);
    Note(aService, group);
    return;
  }
  for (const auto& vm : aCome) {
    Compare(aService, group, vm);
  }
}

// The better one of the two is to take the duty: the higher score, or the first
// name among equals.
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
    const bool concerns = aVm == mSelf || (best && best->vm == mSelf);
    aGroup.best = { score, aVm };
    if (concerns) {
      Note(aService, aGroup);
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
lock_assignments::Recheck(const cluster_state& aKeys,
                          const std::string& aService,
                          group& aGroup)
{
  const bool isHeld =
    mCandidates.contains(aGroup.holder) && IsLockHeld(aKeys, aService);
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
  Note(aService, aGroup);
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
lock_assignments::Note(const std::string& aService, const group& aGroup)
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
