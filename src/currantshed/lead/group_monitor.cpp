#include "currantshed/lead/group_monitor.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include <absl/strings/str_cat.h>

#include "currantshed/lead/internal/group_monitor_timing.hpp"

namespace currantshed::lead {

using internal::kDemandTimeout;

namespace {

using std::chrono::milliseconds;

// A revocation that the lock holder does not repeat expires after this time.
constexpr milliseconds kRevocationTimeout{ 5000 };
// How long after the lock was acquired an order of its previous holder may take
// effect: nearly twice the measured maximum of 1.1 s. That holder has aborted
// the order by then if it was still on its way.
constexpr milliseconds kInheritedOrderTime{ 2000 };

} // namespace

group_monitor::group_monitor(const monitor_settings& aSettings)
  : mSettings(aSettings)
  , mTakeover(mTable, mTerms, aSettings.validity)
{
}

void
group_monitor::Configure(const std::vector<member>& aMembers,
                         clock::time_point aNow)
{
  mTable.Configure(aMembers, aNow);
  if (PredatesRestart(mConfirmation)) {
    mConfirmation.askedAt = {};
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
    mNoPrimarySince.reset();
    mUnrecorded.reset();
    mTakeover.LockAcquired(aNow + kInheritedOrderTime);
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
    mMustAcknowledge = std::move(aVms);
  }
  CheckAcknowledgements();
  Evaluate(aNow);
}

void
group_monitor::SetTerms(const term_history& aTerms, clock::time_point aNow)
{
  if (aTerms != mTerms) {
    mTerms = Merge(mTerms, aTerms);
  }
  mRecorded = aTerms;
  if (mUnrecorded && HaveSameEnds(*mUnrecorded, mRecorded)) {
    mUnrecorded.reset();
  }
  SetReplacedTerm(aTerms.replaced, aNow);
}

void
group_monitor::SetReplacedTerm(position::term_id aTerm, clock::time_point aNow)
{
  NoteReplaced(aTerm);
  if (aTerm > mReplaced) {
    mReplaced = aTerm;
    Evaluate(aNow);
  }
}

// A term was replaced of which no more is known.
void
group_monitor::NoteReplaced(position::term_id aTerm)
{
  if (aTerm > mTerms.replaced) {
    mTerms.replaced = aTerm;
    mTerms.ordered.clear();
  }
}

void
group_monitor::ConfirmationNeeded(clock::time_point aNow)
{
  if (mDemandAt == clock::time_point{} || aNow >= mDemandAt + kDemandTimeout) {
    mDemandSince = aNow;
  }
  mDemandAt = aNow;
  Evaluate(aNow);
}

void
group_monitor::LeadershipDenied(position::term_id aTerm, clock::time_point aNow)
{
  if (aTerm >= mConfirmation.term) {
    mDeniedAt = aNow;
    mDemandAt = aNow;
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
    if (aServer == mConfirmation.primary) {
      AdoptPositionSample(aNow);
    }
  } else {
    if (auto* view = mTable.Find(aServer)) {
      view->pendingSince.reset();
    }
    mTable.Contacted(aServer, aNow);
  }
  if (aServer == mConfirmation.primary) {
    mOutages.RecordUp(aServer, aNow);
  }
  Evaluate(aNow);
}

void
group_monitor::ServerFailed(const upstream::server_id& aServer,
                            std::optional<clock::time_point> aHeardAt,
                            clock::time_point aNow)
{
  // An answer that arrived before the query failed does not cancel the failure.
  if (aHeardAt) {
    mTable.Contacted(aServer, *aHeardAt);
  }
  mTable.Failed(aServer);
  if (aServer == mConfirmation.primary) {
    RecordOutage(aNow);
  }
  Evaluate(aNow);
}

void
group_monitor::PromotionAnswered(const upstream::server_id& aServer,
                                 promotion_outcome aOutcome,
                                 clock::time_point aNow)
{
  mTakeover.PromotionAnswered(aServer, aOutcome, aNow);
  Evaluate(aNow);
}

void
group_monitor::WatchUpdateReceived(const watch_update& aUpdate,
                                   clock::time_point aNow)
{
  const bool isNewest = std::tie(aUpdate.epoch, aUpdate.sequence) >=
                        std::tie(mRevokedEpoch, mRevokedSequence);
  if (isNewest && !mHoldsLock) {
    if (aUpdate.revokedTerm != mRevoked) {
      mActions.emplace_back(publish_revocation{ aUpdate.revokedTerm });
    }
    if (aUpdate.revokedTerm < mRevoked) {
      LiftRevocation(mRevoked);
    }
    mRevoked = aUpdate.revokedTerm;
    mRevokedEpoch = aUpdate.epoch;
    mRevokedSequence = aUpdate.sequence;
    mRevokedAt = aNow;
  }
  if (mMayConfirm) {
    AdoptConfirmation(aUpdate.confirmation, false, aNow);
  }
  if (aUpdate.sample && aUpdate.sample->term == mConfirmation.term) {
    if (!mSample || aUpdate.sample->askedAt > mSample->askedAt) {
      mSample = aUpdate.sample;
    }
    mActions.emplace_back(publish_sample{ *aUpdate.sample });
  }
  Evaluate(aNow);
}

void
group_monitor::ReachUpdateReceived(const std::string& aVm,
                                   const reach_update& aUpdate,
                                   clock::time_point aNow)
{
  mReachUpdates[aVm] = { aUpdate, aNow };
  if (aUpdate.primary == mConfirmation.primary) {
    mOutages.RecordHeard(aUpdate.heardAt);
  }
  CheckAcknowledgements();
  Evaluate(aNow);
}

watch_update
group_monitor::WatchUpdate() const
{
  // Only the lock holder revokes terms and lifts revocations.
  if (!mHoldsLock) {
    return { mConfirmation, mSample, 0, 0, 0 };
  }
  return { mConfirmation, mSample, mOwnRevoked, mEpoch, mOwnSequence };
}

watch_update
group_monitor::ForwardedUpdate() const
{
  return { mConfirmation, mSample, mRevoked, mRevokedEpoch, mRevokedSequence };
}

reach_update
group_monitor::ReachUpdate(std::optional<clock::time_point> aHeardAt) const
{
  reach_update update{
    mConfirmation.term, mConfirmation.primary, {}, mRevoked
  };
  if (const auto* primary = mTable.Find(mConfirmation.primary)) {
    update.heardAt = primary->report ? primary->heardAt : clock::time_point{};
  }
  if (aHeardAt) {
    update.heardAt = std::max(update.heardAt, *aHeardAt);
  }
  return update;
}

void
group_monitor::Tick(clock::time_point aNow)
{
  if (mHoldsLock && mScheduledTick) {
    mSchedulingDelay.Record(*mScheduledTick, aNow);
  }
  Evaluate(aNow);
  mScheduledTick.reset();
  if (AnnouncesStatus()) {
    mScheduledTick = NextTick();
  }
}

clock::time_point
group_monitor::NextTick() const
{
  auto next = mTakeover.NextTick();
  if (AnnouncesStatus() || mNow < mDemandAt + kDemandTimeout) {
    next = std::min(next, mNow + milliseconds{ 50 });
  }
  if (mRevoked != 0) {
    next = std::min(next, mRevokedAt + kRevocationTimeout);
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
  if (mRevoked != 0 && !mHoldsLock && mNow > mRevokedAt + kRevocationTimeout) {
    mActions.emplace_back(
      log_step{ "revocation_lapsed", absl::StrCat("term=", mRevoked) });
    LiftRevocation(mRevoked);
    mRevoked = 0;
    mActions.emplace_back(publish_revocation{ 0 });
  }
  AdoptOwnConfirmation(mNow);
  if (mHoldsLock) {
    RecordTerms(mNow);
    MonitorPrimary(mNow);
    mTakeover.Tick(mNow, mActions);
    RepairMembers(mNow);
    LogUnconfirmed(mNow);
  }
  if (mTakeover.RevokedTerm() != mOwnRevoked) {
    mOwnRevoked = mTakeover.RevokedTerm();
    ++mOwnSequence;
  }
  SendQueries(mNow);
}

} // namespace currantshed::lead
