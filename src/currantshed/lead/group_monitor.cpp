#include "currantshed/lead/group_monitor.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include <absl/strings/str_cat.h>

#include "currantshed/lead/internal/group_monitor_timing.hpp"

namespace currantshed::lead {

using internal::kDemandLife;

namespace {

using std::chrono::milliseconds;

// A revocation that its author does not repeat lapses.
constexpr milliseconds kRevocationLife{ 5000 };

} // namespace

group_monitor::group_monitor(const monitor_settings& aSettings)
  : mSettings(aSettings)
  , mTakeover(mTable, aSettings.validity)
{
}

void
group_monitor::Configure(const std::vector<member>& aMembers,
                         clock::time_point aNow)
{
  mTable.Configure(aMembers, aNow);
  if (IsOfOldLife(mProof)) {
    mProof.askedAt = {};
    mSample.reset();
  }
  Evaluate(aNow);
}

void
group_monitor::SetFailoverLock(bool aHolds,
                               std::uint64_t aEpoch,
                               clock::time_point aNow)
{
  if (aHolds == mHoldsLock && aEpoch == mEpoch) {
    return;
  }
  if (aHolds && !mHoldsLock) {
    mLockHeldSince = aNow;
    mVacantSince.reset();
  }
  mHoldsLock = aHolds;
  mEpoch = aEpoch;
  if (!aHolds && IsTakeoverActive()) {
    LiftRevocation(mTakeover.RevokedTerm());
    mTakeover.Abandon(mActions);
  }
  Evaluate(aNow);
}

void
group_monitor::VmsListed(std::vector<std::string> aVms,
                         clock::time_point aAskedAt,
                         clock::time_point aNow)
{
  if (mTakeover.Step() == takeover_step::kAwaitExpiry &&
      aAskedAt >= mTakeover.BlockedAt()) {
    mMustObey = std::move(aVms);
  }
  CheckObedience();
  Evaluate(aNow);
}

position::term_id
group_monitor::ReplacedTerm() const noexcept
{
  return mProof.term > mReplaced ? mProof.term - 1 : mReplaced;
}

void
group_monitor::SetReplacedTerm(position::term_id aTerm, clock::time_point aNow)
{
  if (aTerm > mReplaced) {
    mReplaced = aTerm;
    Evaluate(aNow);
  }
}

void
group_monitor::ConfirmationNeeded(clock::time_point aNow)
{
  if (mWantedAt == clock::time_point{} || aNow >= mWantedAt + kDemandLife) {
    mWantedSince = aNow;
  }
  mWantedAt = aNow;
  Evaluate(aNow);
}

void
group_monitor::LeadershipDenied(position::term_id aTerm, clock::time_point aNow)
{
  if (aTerm >= mProof.term) {
    mDeniedAt = aNow;
    mWantedAt = aNow;
  }
  Evaluate(aNow);
}

void
group_monitor::ServerAnswered(
  const upstream::server_id& aServer,
  const std::optional<proxy::server_report>& aReport,
  clock::time_point aAskedAt,
  clock::time_point aNow)
{
  if (aReport) {
    mTable.Reported(aServer, *aReport, aAskedAt, aNow);
    if (aServer == mProof.primary) {
      TakeSample(aNow);
    }
  } else {
    if (auto* view = mTable.Find(aServer)) {
      view->pendingSince.reset();
    }
    mTable.Contacted(aServer, aNow);
  }
  Evaluate(aNow);
}

void
group_monitor::ServerFailed(const upstream::server_id& aServer,
                            std::optional<clock::time_point> aHeardAt,
                            clock::time_point aNow)
{
  // What was heard before the question failed doesn't make up for it.
  if (aHeardAt) {
    mTable.Contacted(aServer, *aHeardAt);
  }
  mTable.Failed(aServer);
  Evaluate(aNow);
}

void
group_monitor::PromotionAnswered(bool aTaken,
                                 bool aRejected,
                                 clock::time_point aNow)
{
  mTakeover.PromotionAnswered(aTaken, aRejected, aNow);
  Evaluate(aNow);
}

void
group_monitor::WatchUpdateReceived(const watch_update& aNews,
                                   clock::time_point aNow)
{
  const bool isNewest = std::tie(aNews.epoch, aNews.sequence) >=
                        std::tie(mRevokedEpoch, mRevokedSequence);
  if (isNewest && !mHoldsLock) {
    if (aNews.revokedTerm != mRevoked) {
      mActions.emplace_back(publish_revocation{ aNews.revokedTerm });
    }
    if (aNews.revokedTerm < mRevoked) {
      LiftRevocation(mRevoked);
    }
    mRevoked = aNews.revokedTerm;
    mRevokedEpoch = aNews.epoch;
    mRevokedSequence = aNews.sequence;
    mRevokedAt = aNow;
  }
  if (mMayAsk) {
    TakeProof(aNews.confirmation, false, aNow);
  }
  if (aNews.sample && aNews.sample->term == mProof.term) {
    if (!mSample || aNews.sample->askedAt > mSample->askedAt) {
      mSample = aNews.sample;
    }
    mActions.emplace_back(publish_sample{ *aNews.sample });
  }
  Evaluate(aNow);
}

void
group_monitor::ReachUpdateReceived(const std::string& aVm,
                                   const reach_update& aNews,
                                   clock::time_point aNow)
{
  mReach[aVm] = { aNews, aNow };
  CheckObedience();
  Evaluate(aNow);
}

watch_update
group_monitor::WatchUpdate() const
{
  // Only the word of who holds the duty revokes and lifts revocations.
  if (!mHoldsLock) {
    return { mProof, mSample, 0, 0, 0 };
  }
  return { mProof, mSample, mOwnRevoked, mEpoch, mOwnSequence };
}

watch_update
group_monitor::ForwardedUpdate() const
{
  return { mProof, mSample, mRevoked, mRevokedEpoch, mRevokedSequence };
}

reach_update
group_monitor::ReachUpdate(std::optional<clock::time_point> aHeardAt) const
{
  reach_update news{ mProof.term, mProof.primary, {}, mRevoked };
  if (const auto* primary = mTable.Find(mProof.primary)) {
    news.heardAt = primary->report ? primary->heardAt : clock::time_point{};
  }
  if (aHeardAt) {
    news.heardAt = std::max(news.heardAt, *aHeardAt);
  }
  return news;
}

void
group_monitor::Tick(clock::time_point aNow)
{
  if (mHoldsLock && mPlanned) {
    mLateness.Record(*mPlanned, aNow);
  }
  Evaluate(aNow);
  mPlanned.reset();
  if (AnnouncesStatus()) {
    mPlanned = NextTick();
  }
}

clock::time_point
group_monitor::NextTick() const
{
  auto next = mTakeover.NextTick();
  if (AnnouncesStatus() || mNow < mWantedAt + kDemandLife) {
    next = std::min(next, mNow + milliseconds{ 50 });
  }
  if (mRevoked != 0) {
    next = std::min(next, mRevokedAt + kRevocationLife);
  }
  return next;
}

std::vector<action>
group_monitor::TakeActions()
{
  return std::exchange(mActions, {});
}

void
group_monitor::Evaluate(clock::time_point aNow)
{
  mNow = std::max(mNow, aNow);
  if (mRevoked != 0 && !mHoldsLock && mNow > mRevokedAt + kRevocationLife) {
    mActions.emplace_back(
      log_step{ "revocation_lapsed", absl::StrCat("term=", mRevoked) });
    LiftRevocation(mRevoked);
    mRevoked = 0;
    mActions.emplace_back(publish_revocation{ 0 });
  }
  TakeOwnProof(mNow);
  if (mHoldsLock) {
    Judge(mNow);
    mTakeover.Tick(mNow, mActions);
    Repair(mNow);
    NoteUnproved(mNow);
  }
  if (mTakeover.RevokedTerm() != mOwnRevoked) {
    mOwnRevoked = mTakeover.RevokedTerm();
    ++mOwnSequence;
  }
  Ask(mNow);
}

} // namespace currantshed::lead
