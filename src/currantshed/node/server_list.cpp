#include "currantshed/node/server_list.hpp"

#include <algorithm>
#include <utility>

#include <absl/container/flat_hash_set.h>

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// How much longer than its listing a server is kept: entries of servers that
// live come back within two seconds after the store was away.
constexpr milliseconds kMissingGrace{ 3000 };

// Longer than any server takes to leave.
constexpr std::chrono::hours kLongAgo{ 1 };

listing_state
StandingOf(const proxy::server& aListed)
{
  return aListed.draining ? listing_state::kLeaving : listing_state::kReady;
}

} // namespace

std::vector<server_change>
server_list::Take(std::vector<proxy::server> aListed,
                  list_source aSource,
                  clock::time_point aNow)
{
  std::vector<server_change> news;
  if (mOlderUntil && aNow >= *mOlderUntil) {
    mOlderUntil.reset();
  }
  for (auto& one : aListed) {
    if (mOlderUntil) {
      KeepLeaving(one);
    }
    NoteLeaving(one, aSource, aNow);
    const auto* before = Find(one.id);
    const bool isNews =
      before == nullptr || before->Incarnation() != one.Incarnation() ||
      before->draining != one.draining || mMissing.contains(one.id);
    if (isNews) {
      news.push_back({ one, StandingOf(one), before == nullptr });
    }
    mMissing.erase(one.id);
  }
  KeepMissing(aListed, news, aNow);
  mServers = std::move(aListed);
  mPlaces.clear();
  for (std::size_t i = 0; i < mServers.size(); ++i) {
    mPlaces.emplace(mServers[i].id, i);
  }
  return news;
}

const proxy::server*
server_list::Find(const upstream::server_id& aId) const
{
  const auto found = mPlaces.find(aId);
  return found == mPlaces.end() ? nullptr : &mServers[found->second];
}

void
server_list::OnStoreRestored(clock::time_point aNow) noexcept
{
  mOlderUntil = aNow + kMissingGrace;
}

void
server_list::KeepLeaving(proxy::server& aListed) const
{
  const auto* before = Find(aListed.id);
  const bool livesOn =
    before != nullptr && before->Incarnation() == aListed.Incarnation();
  aListed.draining = aListed.draining || (livesOn && before->draining);
}

// Since when a server may have been leaving: a VM that was out of touch with
// the store does not know when it said so, and takes its time to be over.
void
server_list::NoteLeaving(proxy::server& aListed,
                         list_source aSource,
                         clock::time_point aNow) const
{
  if (!aListed.draining) {
    return;
  }
  const auto* before = Find(aListed.id);
  const bool livesOn =
    before != nullptr && before->Incarnation() == aListed.Incarnation();
  if (livesOn && before->drainingSince) {
    aListed.drainingSince = before->drainingSince;
  } else {
    aListed.drainingSince =
      aSource == list_source::kWatch ? aNow : aNow - kLongAgo;
  }
}

void
server_list::KeepMissing(std::vector<proxy::server>& aListed,
                         std::vector<server_change>& aNews,
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
      aNews.push_back({ old, listing_state::kMissing });
    }
    if (aNow - since->second < kMissingGrace) {
      aListed.push_back(old);
    } else {
      mMissing.erase(since);
      aNews.push_back({ old, listing_state::kGone });
    }
  }
}

bool
server_list::IsDue(clock::time_point aNow) const
{
  const bool isCopyOver = mOlderUntil && aNow >= *mOlderUntil;
  return isCopyOver ||
         std::any_of(
           mMissing.begin(), mMissing.end(), [aNow](const auto& aEntry) {
             return aNow - aEntry.second >= kMissingGrace;
           });
}

std::string_view
ToString(listing_state aStanding)
{
  switch (aStanding) {
    case listing_state::kReady:
      return "ready";
    case listing_state::kLeaving:
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
