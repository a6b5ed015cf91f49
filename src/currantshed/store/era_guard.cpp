#include "currantshed/store/era_guard.hpp"

#include <algorithm>
#include <utility>

#include "currantshed/clock/now.hpp"
#include "currantshed/store/errors.hpp"

namespace currantshed::store {

era_guard::era_guard(key_value& aStore, listener aListener)
  : mStore(aStore)
  , mListener(std::move(aListener))
{
}

// Records the era of a response. Returns the call's error, or errc::kStaleEra
// if the response is of an earlier era.
std::error_code
era_guard::RecordEra(std::error_code aError, const response_info& aInfo)
{
  const auto reported = aInfo.era;
  if (reported && (!mEra || *reported > *mEra)) {
    mListener.eraChanged(std::exchange(mEra, reported), *reported);
  }
  const bool isStale = reported && *reported < *mEra;
  return isStale && !aError ? make_error_code(errc::kStaleEra) : aError;
}

bool
era_guard::IsStale(era_id aEra) const noexcept
{
  return mEra && aEra < *mEra;
}

bool
era_guard::IsStale(const std::vector<condition>& aConditions) const noexcept
{
  return std::any_of(
    aConditions.begin(), aConditions.end(), [this](const auto& aOne) {
      return IsStale(aOne.changed.era);
    });
}

// Returns the outcome of a transaction that must not be sent; none if it may
// be.
std::optional<commit_outcome>
era_guard::RejectionOf(const transaction& aTransaction) const
{
  if (IsStale(aTransaction.conditions)) {
    return commit_outcome::kConflict;
  }
  const bool hasStaleLease =
    std::any_of(aTransaction.puts.begin(),
                aTransaction.puts.end(),
                [this](const auto& aOne) {
                  return aOne.lease != lease_id{} && IsStale(aOne.lease.era);
                });
  return hasStaleLease ? std::optional(commit_outcome::kLeaseNotFound)
                       : std::nullopt;
}

void
era_guard::SetCallTimeout(std::chrono::milliseconds aTimeout)
{
  mStore.SetCallTimeout(aTimeout);
}

void
era_guard::Get(std::string aKey, item_callback aDone)
{
  mStore.Get(std::move(aKey),
             [this, done = std::move(aDone)](std::error_code aError,
                                             std::optional<item> aItem,
                                             response_info aInfo) {
               done(RecordEra(aError, aInfo), std::move(aItem), aInfo);
             });
}

void
era_guard::Range(std::string aPrefix, range_callback aDone)
{
  mStore.Range(
    std::move(aPrefix),
    [this, done = std::move(aDone)](std::error_code aError,
                                    std::vector<item> aItems,
                                    revision aRevision,
                                    response_info aInfo) {
      done(RecordEra(aError, aInfo), std::move(aItems), aRevision, aInfo);
    });
}

void
era_guard::Watch(changes_request aWhat,
                 std::chrono::milliseconds aMaxWait,
                 watch_callback aDone)
{
  if (IsStale(aWhat.after.era)) {
    Reject(std::move(aDone));
    return;
  }
  mStore.Watch(std::move(aWhat), aMaxWait, WithEraCheck(std::move(aDone)));
}

void
era_guard::ChangesSince(changes_request aWhat, watch_callback aDone)
{
  if (IsStale(aWhat.after.era)) {
    Reject(std::move(aDone));
    return;
  }
  mStore.ChangesSince(std::move(aWhat), WithEraCheck(std::move(aDone)));
}

key_value::watch_callback
era_guard::WithEraCheck(watch_callback aDone)
{
  return [this, done = std::move(aDone)](std::error_code aError,
                                         std::vector<key_change> aChanges,
                                         revision aRevision,
                                         response_info aInfo) {
    done(RecordEra(aError, aInfo), std::move(aChanges), aRevision, aInfo);
  };
}

void
era_guard::Reject(watch_callback aDone)
{
  mListener.post([done = std::move(aDone)] {
    done(errc::kStaleEra, {}, {}, { clock::Now() });
  });
}

void
era_guard::CancelWatch(const std::string& aPrefix)
{
  mStore.CancelWatch(aPrefix);
}

void
era_guard::Commit(transaction aTransaction, commit_callback aDone)
{
  if (const auto rejection = RejectionOf(aTransaction)) {
    mListener.post([done = std::move(aDone), outcome = *rejection] {
      done(outcome, {}, { clock::Now() });
    });
    return;
  }
  auto conditions = aTransaction.conditions;
  mStore.Commit(
    std::move(aTransaction),
    [this, conditions = std::move(conditions), done = std::move(aDone)](
      commit_outcome aOutcome, revision aRevision, response_info aInfo) {
      (void)RecordEra({}, aInfo);
      const bool isUncertain =
        aOutcome == commit_outcome::kApplied && IsStale(conditions);
      done(isUncertain ? commit_outcome::kUnknown : aOutcome, aRevision, aInfo);
    });
}

void
era_guard::Grant(std::chrono::milliseconds aTtl, grant_callback aDone)
{
  mStore.Grant(aTtl,
               [this, done = std::move(aDone)](
                 std::error_code aError, lease_id aLease, response_info aInfo) {
                 done(RecordEra(aError, aInfo), aLease, aInfo);
               });
}

void
era_guard::KeepAlive(lease_id aLease, keep_alive_callback aDone)
{
  if (IsStale(aLease.era)) {
    mListener.post([done = std::move(aDone)] {
      done(errc::kLeaseNotFound, { clock::Now() });
    });
    return;
  }
  mStore.KeepAlive(
    aLease,
    [this, aLease, done = std::move(aDone)](std::error_code aError,
                                            response_info aInfo) {
      const auto error = RecordEra(aError, aInfo);
      const bool isReused = !error && IsStale(aLease.era);
      done(isReused ? make_error_code(errc::kLeaseNotFound) : error, aInfo);
    });
}

void
era_guard::Revoke(lease_id aLease)
{
  if (!IsStale(aLease.era)) {
    mStore.Revoke(aLease);
  }
}

} // namespace currantshed::store
