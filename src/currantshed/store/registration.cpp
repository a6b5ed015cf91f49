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
  mWriteVisibleBy = {};
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
  } else if (!IsListed() && mView.IsKnown() && aNow >= mWriteVisibleBy) {
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
  const auto due = IsListed() ? mRenewAt : std::min(mRenewAt, mWriteVisibleBy);
  return std::max(mNotBefore, due);
}

void
registration::Grant(clock::time_point aNow)
{
  mIsCalling = true;
  mStore.Grant(mSettings.lease.ttl,
               [this, alive = mAlive, aNow, lease = mSettings.lease](
                 std::error_code aError, lease_id aLease, response_info aInfo) {
                 if (!*alive) {
                   return;
                 }
                 mIsCalling = false;
                 if (aError) {
                   OnFailure(aInfo.at);
                   return;
                 }
                 OnResponse(aNow);
                 mLease = aLease;
                 mMustGrant = lease != mSettings.lease;
                 mValidUntil = aNow + lease.ttl;
                 mRenewAt = aNow + lease.renewAfter;
                 mWriteVisibleBy = {};
               });
}

void
registration::Renew(clock::time_point aNow)
{
  mIsCalling = true;
  mStore.KeepAlive(
    mLease,
    [this, alive = mAlive, aNow](std::error_code aError, response_info aInfo) {
      if (!*alive) {
        return;
      }
      mIsCalling = false;
      if (aError == errc::kLeaseNotFound) {
        OnResponse(aNow);
        OnLeaseLost();
        return;
      }
      if (aError) {
        OnFailure(aInfo.at);
        return;
      }
      OnResponse(aNow);
      mValidUntil = aNow + mSettings.lease.ttl;
      mRenewAt = aNow + mSettings.lease.renewAfter;
    });
}

void
registration::Write(clock::time_point aNow)
{
  mIsCalling = true;
  mWriteVisibleBy = aNow + kViewDelay;
  transaction change;
  const auto found = mView.Items().find(mKey);
  const auto seen = found == mView.Items().end() ? revision{ mView.Seen().era }
                                                 : found->second.changed;
  change.conditions.push_back({ mKey, seen });
  change.puts.push_back({ mKey, mValue, {}, mLease });
  mStore.Commit(std::move(change),
                [this, alive = mAlive, aNow, lease = mLease](
                  commit_outcome aOutcome, revision, response_info aInfo) {
                  if (!*alive) {
                    return;
                  }
                  mIsCalling = false;
                  switch (aOutcome) {
                    case commit_outcome::kApplied:
                      mIsWritten = true;
                      mWrittenLease = lease;
                      OnResponse(aNow);
                      if (mOnWritten) {
                        mOnWritten();
                      }
                      break;
                    case commit_outcome::kLeaseNotFound:
                      OnLeaseLost();
                      break;
                    case commit_outcome::kConflict:
                      // The view does not yet show the conflicting change.
                      mWriteVisibleBy = aInfo.at + kCheckInterval;
                      break;
                    default:
                      mWriteVisibleBy = aInfo.at + kCheckInterval;
                      OnFailure(aInfo.at);
                      break;
                  }
                });
}

// The lease has ended, and the key was removed with it.
void
registration::OnLeaseLost()
{
  mLease = {};
  mMustGrant = true;
  mValidUntil = {};
  mIsWritten = false;
}

void
registration::OnWritten(std::function<void()> aCallback)
{
  mOnWritten = std::move(aCallback);
}

void
registration::OnRecovered(std::function<void()> aCallback)
{
  mOnRecovered = std::move(aCallback);
}

void
registration::OnResponse(clock::time_point aSentAt)
{
  mLastAnsweredSentAt = aSentAt;
  mBackoff.Reset();
  if (std::exchange(mIsFailing, false) && mOnRecovered) {
    mOnRecovered();
  }
}

void
registration::OnFailure(clock::time_point aNow)
{
  mIsFailing = true;
  mNotBefore = aNow + mBackoff.Next(mRandom);
}

} // namespace currantshed::store
