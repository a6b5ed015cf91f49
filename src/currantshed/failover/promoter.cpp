#include "currantshed/failover/promoter.hpp"

#include <algorithm>
#include <utility>

namespace currantshed::failover {

namespace {

// Number of times that fences are sent before an attempt ends without a
// majority.
constexpr int kFenceAttempts = 3;
// Time for a promotion, in multiples of the validity: the server first applies
// all records that it has stored.
constexpr int kPromoteValidities = 5;
constexpr unsigned kMaxDoublings = 3;

} // namespace

promoter::promoter(const coordinator_settings& aSettings,
                   const server_monitor& aMonitor,
                   term_reservations& aReservations)
  : mMonitor(aMonitor)
  , mReservations(aReservations)
  , mProbeInterval(aSettings.probeInterval)
  , mRetry(aSettings.probeTimeout)
  , mValidity(aSettings.validity)
  , mRank(aSettings.rank)
{
}

void
promoter::Begin(const primary_ref& aPrevious,
                bool aLost,
                clock::duration aExtraDelay,
                clock::time_point aNow)
{
  if (mStep != step::kIdle) {
    return;
  }
  mPrevious = aPrevious;
  mLost = aLost;
  mStep = step::kRankDelay;
  mStepDue = std::max(aNow + RankDelay() + aExtraDelay, mNotBefore);
}

void
promoter::Cancel()
{
  if (mStep == step::kRankDelay || mStep == step::kPickTerm ||
      mStep == step::kBackOff) {
    Stop();
  }
}

void
promoter::Stop()
{
  mStep = step::kIdle;
  mReservations.SetUrgent(false);
}

void
promoter::Abandon()
{
  Stop();
  mTermUsed = true;
}

void
promoter::FenceAnswered(const upstream::server_id& aServer,
                        position::term_id aTerm,
                        bool aAccepted,
                        const upstream::server_status& aStatus,
                        clock::time_point aNow)
{
  if (aTerm == mTerm && aAccepted) {
    RecordFenced(aServer, aStatus, aNow);
  }
}

void
promoter::PromoteAnswered(const upstream::server_id& aServer,
                          position::term_id aTerm,
                          bool aAccepted,
                          const upstream::server_status& aStatus,
                          clock::time_point aNow)
{
  if (mStep != step::kPromote || aTerm != mTerm || aServer != mChosen) {
    return;
  }
  if (aAccepted) {
    CompletePromotion(aServer);
    return;
  }
  // Without a response the promotion may have taken effect; the server's status
  // will show it.
  if (aStatus.term != 0) {
    BackOff(aNow);
  }
}

void
promoter::Tick(clock::time_point aNow, std::vector<action>& aOut)
{
  ReadMonitor(aNow);
  if ((mStep == step::kRankDelay || mStep == step::kBackOff) &&
      aNow >= mStepDue) {
    mStep = step::kPickTerm;
  }
  if (mStep == step::kPickTerm) {
    PickTerm(aNow);
  }
  if (mStep == step::kFence) {
    if (aNow >= mFenceDeadline) {
      GiveUpFence(aNow);
    } else {
      SendFences(aNow, aOut);
    }
  }
  // A promoter that was paused first processes what arrived in the meantime.
  if (mStep == step::kWaitOut && aNow >= mStepDue &&
      mMonitor.HasMajority(aNow)) {
    Promote(aNow, aOut);
  }
  if (mStep == step::kPromote && (aNow >= mStepDue || IsPromotionLost(aNow))) {
    BackOff(aNow);
  }
}

clock::time_point
promoter::NextTick() const noexcept
{
  switch (mStep) {
    case step::kIdle:
    case step::kPickTerm:
      return clock::time_point::max();
    case step::kFence:
      return std::min(mNextFence, mFenceDeadline);
    case step::kRankDelay:
    case step::kWaitOut:
    case step::kPromote:
    case step::kBackOff:
      return mStepDue;
  }
  return clock::time_point::max();
}

primary_ref
promoter::TakePromoted()
{
  return std::exchange(mPromoted, {});
}

// A term that was fenced without a majority remains usable while no higher one
// has been seen.
void
promoter::PickTerm(clock::time_point aNow)
{
  const bool reuse = !mTermUsed && mTerm >= mMonitor.HighestTerm();
  if (!reuse) {
    const auto term = mReservations.LowestUsable();
    mReservations.SetUrgent(!term);
    if (!term) {
      return;
    }
    mReservations.MarkUsed(*term);
    mTerm = *term;
    mTermUsed = false;
    mFenced.clear();
  }
  mStep = step::kFence;
  mNextFence = aNow;
  mFenceDeadline = aNow + kFenceAttempts * mRetry;
  // Responses that arrived after an earlier attempt ended count as well.
  if (mFenced.size() >= mMonitor.Majority()) {
    mStep = step::kWaitOut;
    mStepDue = aNow + mValidity;
  }
}

void
promoter::RecordFenced(const upstream::server_id& aServer,
                       const upstream::server_status& aStatus,
                       clock::time_point aNow)
{
  if (mTermUsed || aStatus.term != mTerm || mMonitor.Find(aServer) == nullptr) {
    return;
  }
  mFenced[aServer] = aStatus;
  if (mStep == step::kFence && mFenced.size() >= mMonitor.Majority()) {
    mStep = step::kWaitOut;
    mStepDue = aNow + mValidity;
  }
}

// A term belongs to one process only, so a server that holds this one and is
// fenced accepted it from this pooler, even if its response was lost.
void
promoter::ReadMonitor(clock::time_point aNow)
{
  if (mStep == step::kIdle || mTerm == 0) {
    return;
  }
  // Until a new term is picked, this one may be that of an earlier failover.
  const bool sent = mStep == step::kPromote || mStep == step::kBackOff;
  for (const auto& [id, server] : mMonitor.Servers()) {
    if (!server.status || server.status->term != mTerm) {
      continue;
    }
    if (server.status->role == upstream::server_role::kFenced) {
      RecordFenced(id, *server.status, aNow);
    }
    if (sent && server.status->role == upstream::server_role::kPrimary) {
      CompletePromotion(id);
      return;
    }
  }
}

void
promoter::SendFences(clock::time_point aNow, std::vector<action>& aOut)
{
  if (aNow < mNextFence) {
    return;
  }
  mNextFence = aNow + mRetry;
  for (const auto& [id, server] : mMonitor.Servers()) {
    if (!mFenced.contains(id)) {
      aOut.emplace_back(fence{ id, mTerm });
    }
  }
}

void
promoter::Promote(clock::time_point aNow, std::vector<action>& aOut)
{
  mChosen = Choose();
  mTermUsed = true;
  mStep = step::kPromote;
  mPromotedAt = aNow;
  mStepDue = aNow + kPromoteValidities * mValidity;
  aOut.emplace_back(promote{ mChosen, mTerm });
}

// The promotion is lost if a server that was probed well after it was sent
// still waits for one and has no more records to apply that could delay it.
bool
promoter::IsPromotionLost(clock::time_point aNow) const
{
  const auto* server = mMonitor.Find(mChosen);
  if (server == nullptr || !server->status || aNow < mPromotedAt + mRetry) {
    return false;
  }
  const auto& status = *server->status;
  return server->askedAt >= mPromotedAt + mRetry && status.term == mTerm &&
         status.role == upstream::server_role::kFenced &&
         status.applied >= status.stored;
}

void
promoter::CompletePromotion(const upstream::server_id& aServer)
{
  mPromoted = { mTerm, aServer };
  mTermUsed = true;
  mAttempts = 0;
  mNotBefore = {};
  Stop();
}

void
promoter::BackOff(clock::time_point aNow)
{
  mStep = step::kBackOff;
  mStepDue = aNow + NextPause();
}

// The reason for the failover must be evaluated again: a pooler that was cut
// off must not act on an old one once it is connected again.
void
promoter::GiveUpFence(clock::time_point aNow)
{
  mNotBefore = aNow + NextPause();
  Stop();
}

clock::duration
promoter::NextPause()
{
  const auto doublings = std::min(mAttempts, kMaxDoublings);
  ++mAttempts;
  return (RankDelay() + mProbeInterval) * (1U << doublings);
}

// The newest history in a majority contains everything that was ever confirmed.
// Servers to be avoided are skipped if the others are a majority without them:
// a primary that its replicas lost may hold more records, but none of those are
// confirmed.
upstream::server_id
promoter::Choose() const
{
  std::vector<upstream::server_id> preferred;
  std::vector<upstream::server_id> all;
  for (const auto& [id, stored] : mFenced) {
    all.push_back(id);
    if (!IsAvoided(id)) {
      preferred.push_back(id);
    }
  }
  const bool enough = preferred.size() >= mMonitor.Majority();
  const auto& choice = enough ? preferred : all;
  return *std::min_element(choice.begin(),
                           choice.end(),
                           [this](const auto& aLeft, const auto& aRight) {
                             return RanksBefore(aLeft, aRight);
                           });
}

bool
promoter::IsAvoided(const upstream::server_id& aServer) const
{
  const auto* server = mMonitor.Find(aServer);
  const bool leaving = server == nullptr || server->member.leaving;
  return leaving || (mLost && aServer == mPrevious.server);
}

bool
promoter::RanksBefore(const upstream::server_id& aLeft,
                      const upstream::server_id& aRight) const
{
  const auto& left = mFenced.at(aLeft);
  const auto& right = mFenced.at(aRight);
  if (left.stored != right.stored) {
    return left.stored > right.stored;
  }
  const bool leftLeaves = mMonitor.Find(aLeft)->member.leaving;
  const bool rightLeaves = mMonitor.Find(aRight)->member.leaving;
  if (leftLeaves != rightLeaves) {
    return rightLeaves;
  }
  // Records that are not applied yet would delay the promotion.
  if (left.applied != right.applied) {
    return left.applied > right.applied;
  }
  const bool leftLed = aLeft == mPrevious.server;
  const bool rightLed = aRight == mPrevious.server;
  if (leftLed != rightLed) {
    return leftLed;
  }
  return aLeft < aRight;
}

clock::duration
promoter::RankDelay() const
{
  return 2 * mProbeInterval * mRank;
}

} // namespace currantshed::failover
