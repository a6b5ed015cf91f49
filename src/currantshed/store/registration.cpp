#include "currantshed/store/registration.hpp"

#include <algorithm>
#include <utility>

#include "currantshed/store/errors.hpp"

namespace currantshed::store {

namespace {

// How long the view may take to show a write that the store has applied.
constexpr std::chrono::milliseconds kViewDelay{ 1500 };
constexpr std::chrono::milliseconds kCheckInterval{ 200 };

} // namespace

registration::registration(key_value& aStore,
                           const prefix_view& aView,
                           std::string aKey,
                           registration_settings aSettings)
  : mStore(aStore)
  , mView(aView)
  , mKey(std::move(aKey))
  , mSettings(aSettings)
  , mBackoff(aSettings.afterFailure)
{
}

registration::~registration()
{
  *mAlive = false;
}

void
registration::SetValue(std::string aValue)
{
  mValue = std::move(aValue);
  mWriteSeenBy = {};
}

void
registration::SetLease(const lease_times& aLease)
{
  if (aLease != mSettings.lease) {
    mSettings.lease = aLease;
    mMustGrant = true;
  }
}

bool
registration::IsWrittenWith(const lease_times& aLease) const
{
  const bool isWritten = mWrittenLease == mLease || IsListed();
  return !mMustGrant && mSettings.lease == aLease && isWritten;
}

void
registration::Revoke()
{
  mIsEnded = true;
  if (mLease != lease_id{}) {
    mStore.Revoke(mLease);
  }
  mValidUntil = {};
}

bool
registration::IsListed() const
{
  const auto found = mView.Items().find(mKey);
  return found != mView.Items().end() && found->second.value == mValue &&
         found->second.lease == mLease && mLease != lease_id{};
}

void
registration::Tick(clock::time_point aNow, double aRandom)
{
  mRandom = aRandom;
  if (mIsCalling || mIsEnded || aNow < mNotBefore) {
    return;
  }
  if (mMustGrant) {
    Grant(aNow);
  } else if (aNow >= mRenewAt) {
    Renew(aNow);
  } else if (!IsListed() && mView.IsKnown() && aNow >= mWriteSeenBy) {
    Write(aNow);
  }
}

clock::time_point
registration::NextTick() const noexcept
{
  if (mIsCalling || mIsEnded) {
    return clock::time_point::max();
  }
  if (mMustGrant) {
    return mNotBefore;
  }
  const auto due = IsListed() ? mRenewAt : std::min(mRenewAt, mWriteSeenBy);
  return std::max(mNotBefore, due);
}

void
registration::Grant(clock::time_point aNow)
{
  mIsCalling = true;
  mStore.Grant(
    mSettings.lease.ttl,
    [this, alive = mAlive, aNow, lease = mSettings.lease](
      std::error_code aError, lease_id aLease, response_info aAnswer) {
      if (!*alive) {
        return;
      }
      mIsCalling = false;
      if (aError) {
        Failed(aAnswer.at);
        return;
      }
      Answered(aNow);
      mLease = aLease;
      mMustGrant = lease != mSettings.lease;
      mValidUntil = aNow + lease.ttl;
      mRenewAt = aNow + lease.renewAfter;
      mWriteSeenBy = {};
    });
}

void
registration::Renew(clock::time_point aNow)
{
  mIsCalling = true;
  mStore.KeepAlive(mLease,
                   [this, alive = mAlive, aNow](std::error_code aError,
                                                response_info aAnswer) {
                     if (!*alive) {
                       return;
                     }
                     mIsCalling = false;
                     if (aError == errc::kLeaseNotFound) {
                       Answered(aNow);
                       Lapsed();
                       return;
                     }
                     if (aError) {
                       Failed(aAnswer.at);
                       return;
                     }
                     Answered(aNow);
                     mValidUntil = aNow + mSettings.lease.ttl;
                     mRenewAt = aNow + mSettings.lease.renewAfter;
                   });
}

void
registration::Write(clock::time_point aNow)
{
  mIsCalling = true;
  mWriteSeenBy = aNow + kViewDelay;
  transaction made;
  const auto found = mView.Items().find(mKey);
  const auto seen = found == mView.Items().end() ? revision{ mView.Seen().era }
                                                 : found->second.changed;
  made.conditions.push_back({ mKey, seen });
  made.puts.push_back({ mKey, mValue, {}, mLease });
  mStore.Commit(std::move(made),
                [this, alive = mAlive, aNow, lease = mLease](
                  commit_outcome aOutcome, revision, response_info aAnswer) {
                  if (!*alive) {
                    return;
                  }
                  mIsCalling = false;
                  switch (aOutcome) {
                    case commit_outcome::kApplied:
                      mIsWritten = true;
                      mWrittenLease = lease;
                      Answered(aNow);
                      if (mWritten) {
                        mWritten();
                      }
                      break;
                    case commit_outcome::kLeaseNotFound:
                      Lapsed();
                      break;
                    case commit_outcome::kConflict:
                      // The view does not yet show the conflicting change.
                      mWriteSeenBy = aAnswer.at + kCheckInterval;
                      break;
                    default:
                      mWriteSeenBy = aAnswer.at + kCheckInterval;
                      Failed(aAnswer.at);
                      break;
                  }
                });
}

// The lease has ended, and the key was removed with it.
void
registration::Lapsed()
{
  mLease = {};
  mMustGrant = true;
  mValidUntil = {};
  mIsWritten = false;
}

void
registration::OnWritten(std::function<void()> aWritten)
{
  mWritten = std::move(aWritten);
}

void
registration::OnRecovered(std::function<void()> aRegained)
{
  mRegained = std::move(aRegained);
}

void
registration::Answered(clock::time_point aAsked)
{
  mAnsweredFor = aAsked;
  mBackoff.Reset();
  if (std::exchange(mIsFailing, false) && mRegained) {
    mRegained();
  }
}

void
registration::Failed(clock::time_point aNow)
{
  mIsFailing = true;
  mNotBefore = aNow + mBackoff.Next(mRandom);
}

} // namespace currantshed::store
