#include "currantshed/node/server_list.hpp"

#include <algorithm>
#include <utility>

#include <absl/container/flat_hash_set.h>

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// How long a server is kept after it was last listed. Entries of running
// servers come back within two seconds after an outage of the store.
constexpr milliseconds kMissingGrace{ 3000 };

// Longer than any server takes to drain.
constexpr std::chrono::hours kLongAgo{ 1 };

listing_state
StateOf(const proxy::server& aListed)
{
  return aListed.draining ? listing_state::kDraining : listing_state::kReady;
}

} // namespace

std::vector<server_change>
server_list::Update(std::vector<proxy::server> aListed,
                    list_source aSource,
                    clock::time_point aNow)
{
  std::vector<server_change> changes;
  if (mRestoredUntil && aNow >= *mRestoredUntil) {
    mRestoredUntil.reset();
  }
  for (auto& one : aListed) {
    if (mRestoredUntil) {
      KeepDraining(one);
    }
    SetDrainingSince(one, aSource, aNow);
    const auto* before = Find(one.id);
    const bool hasChanged =
      before == nullptr || before->Incarnation() != one.Incarnation() ||
      before->draining != one.draining || mMissing.contains(one.id);
    if (hasChanged) {
      changes.push_back({ one, StateOf(one), before == nullptr });
    }
    mMissing.erase(one.id);
  }
  KeepMissing(aListed, changes, aNow);
  mServers = std::move(aListed);
  mIndexes.clear();
  for (std::size_t i = 0; i < mServers.size(); ++i) {
    mIndexes.emplace(mServers[i].id, i);
  }
  return changes;
}

const proxy::server*
server_list::Find(const upstream::server_id& aId) const
{
  const auto found = mIndexes.find(aId);
  return found == mIndexes.end() ? nullptr : &mServers[found->second];
}

void
server_list::OnStoreRestored(clock::time_point aNow) noexcept
{
  mRestoredUntil = aNow + kMissingGrace;
}

void
server_list::KeepDraining(proxy::server& aListed) const
{
  const auto* before = Find(aListed.id);
  const bool isSameIncarnation =
    before != nullptr && before->Incarnation() == aListed.Incarnation();
  aListed.draining =
    aListed.draining || (isSameIncarnation && before->draining);
}

// Sets the time since when the server may have been draining. A VM that was
// disconnected from the store does not know when the server announced it, and
// assumes that the server's draining time is over.
void
server_list::SetDrainingSince(proxy::server& aListed,
                              list_source aSource,
                              clock::time_point aNow) const
{
  if (!aListed.draining) {
    return;
  }
  const auto* before = Find(aListed.id);
  const bool isSameIncarnation =
    before != nullptr && before->Incarnation() == aListed.Incarnation();
  if (isSameIncarnation && before->drainingSince) {
    aListed.drainingSince = before->drainingSince;
  } else {
    aListed.drainingSince =
      aSource == list_source::kWatch ? aNow : aNow - kLongAgo;
  }
}

void
server_list::KeepMissing(std::vector<proxy::server>& aListed,
                         std::vector<server_change>& aChanges,
                         clock::time_point aNow)
{
  absl::flat_hash_set<upstream::server_id> listed;
  for (const auto& one : aListed) {
    listed.insert(one.id);
  }
  for (const auto& old : mServers) {
    if (listed.contains(old.id)) {
      continue;
    }
    const auto [since, isNew] = mMissing.try_emplace(old.id, aNow);
    if (isNew) {
      aChanges.push_back({ old, listing_state::kMissing });
    }
    if (aNow - since->second < kMissingGrace) {
      aListed.push_back(old);
    } else {
      mMissing.erase(since);
      aChanges.push_back({ old, listing_state::kGone });
    }
  }
}

bool
server_list::IsDue(clock::time_point aNow) const
{
  const bool isCopyOver = mRestoredUntil && aNow >= *mRestoredUntil;
  return isCopyOver ||
         std::any_of(
           mMissing.begin(), mMissing.end(), [aNow](const auto& aEntry) {
             return aNow - aEntry.second >= kMissingGrace;
           });
}

std::string_view
ToString(listing_state aState)
{
  switch (aState) {
    case listing_state::kReady:
      return "ready";
    case listing_state::kDraining:
      return "leaving";
    case listing_state::kMissing:
      return "missing";
    case listing_state::kGone:
      return "gone";
  }
  return "unknown";
}

std::string_view
ToString(list_source aSource)
{
  return aSource == list_source::kWatch ? "watch" : "catch_up";
}

} // namespace currantshed::node
