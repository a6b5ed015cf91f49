#include "currantshed/node/vm_membership.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// A VM off the list that spoke this lately is told the news: each VM speaks
// every two seconds at the least, off the list every second, and a word may be
// lost.
constexpr milliseconds kSpeaking{ 4500 };

} // namespace

bool
vm_membership::known_vm::IsRecentlyHeard(clock::time_point aNow) const
{
  return heardAt && aNow - *heardAt < kSpeaking;
}

vm_membership::vm_membership(std::string aSelf)
  : mSelf(std::move(aSelf))
{
}

void
vm_membership::Listed(const std::vector<news::peer>& aVms,
                      clock::time_point aNow)
{
  for (auto& [name, one] : mVms) {
    one.seenAt = one.isListed ? aNow : one.seenAt;
    one.isListed = false;
  }
  for (const auto& listed : aVms) {
    auto& one = mVms[listed.vm];
    one.where = listed;
    one.isListed = true;
    one.seenAt = aNow;
  }
  absl::erase_if(mVms, [aNow](const auto& aEntry) {
    return !aEntry.second.isListed && aNow - aEntry.second.seenAt >= kRetention;
  });
}

void
vm_membership::Seen(const std::string& aVm, clock::time_point aNow)
{
  auto& one = mVms[aVm];
  one.seenAt = std::max(one.seenAt, aNow);
}

void
vm_membership::OnMessage(const std::string& aVm, clock::time_point aNow)
{
  Seen(aVm, aNow);
  mVms[aVm].heardAt = aNow;
}

void
vm_membership::OnDirectReachUpdate(const std::string& aVm,
                                   clock::time_point aNow)
{
  Seen(aVm, aNow);
  mVms[aVm].askedAt = aNow;
}

bool
vm_membership::SendsDirectReachUpdates(const std::string& aVm,
                                       clock::time_point aNow) const
{
  const auto found = mVms.find(aVm);
  return found != mVms.end() && found->second.askedAt &&
         aNow - *found->second.askedAt < kSpeaking;
}

std::vector<news::peer>
vm_membership::Reachable(clock::time_point aNow) const
{
  std::vector<news::peer> reachable;
  ForEachReachable(aNow, [&reachable](const news::peer& aPeer) {
    reachable.push_back(aPeer);
  });
  return reachable;
}

void
vm_membership::ForEachReachable(
  clock::time_point aNow,
  absl::FunctionRef<void(const news::peer&)> aVisit) const
{
  for (const auto& [name, one] : mVms) {
    const bool isThere = one.isListed || one.IsRecentlyHeard(aNow);
    if (name != mSelf && one.where && isThere) {
      aVisit(*one.where);
    }
  }
}

std::size_t
vm_membership::CountReachable(clock::time_point aNow) const
{
  std::size_t count = 0;
  ForEachReachable(aNow, [&count](const news::peer& /*aPeer*/) { ++count; });
  return count;
}

std::vector<news::peer>
vm_membership::RecentlyHeard(clock::time_point aNow) const
{
  auto speaking = Reachable(aNow);
  std::erase_if(speaking, [&](const auto& aPeer) {
    return !mVms.at(aPeer.vm).IsRecentlyHeard(aNow);
  });
  return speaking;
}

bool
vm_membership::IsRecentlyHeard(const std::string& aVm,
                               clock::time_point aNow) const
{
  const auto found = mVms.find(aVm);
  return found != mVms.end() && found->second.IsRecentlyHeard(aNow);
}

std::vector<std::string>
vm_membership::MayUseConfirmation(clock::time_point aNow) const
{
  std::vector<std::string> names;
  for (const auto& [name, one] : mVms) {
    if (name != mSelf && (one.isListed || aNow - one.seenAt < kRetention)) {
      names.push_back(name);
    }
  }
  return names;
}

} // namespace currantshed::node
