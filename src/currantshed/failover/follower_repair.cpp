#include "currantshed/failover/follower_repair.hpp"

#include <algorithm>

namespace currantshed::failover {

namespace {

// Number of probe intervals that each rank leaves to the one before it.
constexpr int kRankIntervals = 6;
// Number of probe intervals between two attempts.
constexpr int kRetryIntervals = 4;

} // namespace

follower_repair::follower_repair(const coordinator_settings& aSettings,
                                 const server_monitor& aMonitor)
  : mMonitor(aMonitor)
  , mProbeInterval(aSettings.probeInterval)
  , mTimeout(aSettings.probeTimeout)
  , mRank(aSettings.rank)
{
}

void
follower_repair::SetPrimary(const primary_ref& aPrimary, bool aIsPromotedHere)
{
  if (aPrimary == mPrimary) {
    mIsPromotedHere = mIsPromotedHere || aIsPromotedHere;
    return;
  }
  mPrimary = aPrimary;
  mIsPromotedHere = aIsPromotedHere;
  mPending.clear();
}

void
follower_repair::FollowAnswered(const upstream::server_id& aServer)
{
  const auto found = mPending.find(aServer);
  if (found != mPending.end()) {
    found->second.sentAt.reset();
  }
}

void
follower_repair::Tick(clock::time_point aNow, std::vector<action>& aOut)
{
  const auto* primary = mMonitor.Find(mPrimary.server);
  // Servers follow only a primary that itself reports this role in this term.
  if (mPrimary.term == 0 || primary == nullptr ||
      !mMonitor.IsFresh(*primary, aNow) ||
      primary->status->term != mPrimary.term ||
      primary->status->role != upstream::server_role::kPrimary) {
    mPending.clear();
    return;
  }
  const auto delay = mIsPromotedHere ? clock::duration{}
                                     : kRankIntervals * mProbeInterval * mRank;
  for (const auto& [id, server] : mMonitor.Servers()) {
    if (id == mPrimary.server || !mMonitor.IsFresh(server, aNow) ||
        !NeedsFollow(server)) {
      mPending.erase(id);
      continue;
    }
    const auto [place, added] = mPending.try_emplace(id);
    auto& entry = place->second;
    if (added) {
      entry.nextTry = aNow + delay;
    }
    if (entry.sentAt && aNow - *entry.sentAt >= mTimeout) {
      entry.sentAt.reset();
    }
    if (!entry.sentAt && aNow >= entry.nextTry) {
      entry.sentAt = aNow;
      entry.nextTry = aNow + kRetryIntervals * mProbeInterval;
      aOut.emplace_back(follow{ id, mPrimary.term, mPrimary.server });
    }
  }
}

clock::time_point
follower_repair::NextTick() const noexcept
{
  auto next = clock::time_point::max();
  for (const auto& [id, entry] : mPending) {
    next =
      std::min(next, entry.sentAt ? *entry.sentAt + mTimeout : entry.nextTry);
  }
  return next;
}

bool
follower_repair::NeedsFollow(const server_view& aServer) const
{
  const auto& status = *aServer.status;
  if (status.term != mPrimary.term) {
    return status.term < mPrimary.term;
  }
  return status.role == upstream::server_role::kFenced ||
         (status.role == upstream::server_role::kReplica &&
          !status.sincePrimary);
}

} // namespace currantshed::failover
