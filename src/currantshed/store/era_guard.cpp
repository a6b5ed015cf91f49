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
era_guard::Heard(std::error_code aError, const response_info& aAnswer)
{
  const auto told = aAnswer.era;
  if (told && (!mEra || *told > *mEra)) {
    mListener.eraChanged(std::exchange(mEra, told), *told);
  }
  const bool isLate = told && *told < *mEra;
  return isLate && !aError ? make_error_code(errc::kStaleEra) : aError;
}

bool
era_guard::IsPast(era_id aEra) const noexcept
{
  return mEra && aEra < *mEra;
}

bool
era_guard::IsPast(const std::vector<condition>& aConditions) const noexcept
{
  return std::any_of(
    aConditions.begin(), aConditions.end(), [this](const auto& aOne) {
      return IsPast(aOne.changed.era);
    });
}

// Returns the outcome of a transaction that must not be sent; none if it may
// be.
std::optional<commit_outcome>
era_guard::RefusalOf(const transaction& aWhat) const
{
  if (IsPast(aWhat.conditions)) {
    return commit_outcome::kConflict;
  }
  const bool hasPastLease =
    std::any_of(aWhat.puts.begin(), aWhat.puts.end(), [this](const auto& aOne) {
      return aOne.lease != lease_id{} && IsPast(aOne.lease.era);
    });
  return hasPastLease ? std::optional(commit_outcome::kLeaseNotFound)
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
                                             response_info aAnswer) {
               done(Heard(aError, aAnswer), std::move(aItem), aAnswer);
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
                                    response_info aAnswer) {
      done(Heard(aError, aAnswer), std::move(aItems), aRevision, aAnswer);
    });
}

void
era_guard::Watch(std::string aPrefix,
                 revision aAfter,
                 std::chrono::milliseconds aMaxWait,
                 watch_callback aDone)
{
  if (IsPast(aAfter.era)) {
    Reject(std::move(aDone));
    return;
  }
  mStore.Watch(std::move(aPrefix), aAfter, aMaxWait, Guarded(std::move(aDone)));
}

void
era_guard::ChangesSince(std::string aPrefix,
                        revision aAfter,
                        watch_callback aDone)
{
  if (IsPast(aAfter.era)) {
    Reject(std::move(aDone));
    return;
  }
  mStore.ChangesSince(std::move(aPrefix), aAfter, Guarded(std::move(aDone)));
}

key_value::watch_callback
era_guard::Guarded(watch_callback aDone)
{
  return [this, done = std::move(aDone)](std::error_code aError,
                                         std::vector<key_change> aChanges,
                                         revision aRevision,
                                         response_info aAnswer) {
    done(Heard(aError, aAnswer), std::move(aChanges), aRevision, aAnswer);
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
era_guard::Commit(transaction aWhat, commit_callback aDone)
{
  if (const auto refusal = RefusalOf(aWhat)) {
    mListener.post([done = std::move(aDone), outcome = *refusal] {
      done(outcome, {}, { clock::Now() });
    });
    return;
  }
  auto conditions = aWhat.conditions;
  mStore.Commit(
    std::move(aWhat),
    [this, conditions = std::move(conditions), done = std::move(aDone)](
      commit_outcome aOutcome, revision aRevision, response_info aAnswer) {
      (void)Heard({}, aAnswer);
      const bool isDoubtful =
        aOutcome == commit_outcome::kApplied && IsPast(conditions);
      done(
        isDoubtful ? commit_outcome::kUnknown : aOutcome, aRevision, aAnswer);
    });
}

void
era_guard::Grant(std::chrono::milliseconds aTtl, grant_callback aDone)
{
  mStore.Grant(aTtl,
               [this, done = std::move(aDone)](std::error_code aError,
                                               lease_id aLease,
                                               response_info aAnswer) {
                 done(Heard(aError, aAnswer), aLease, aAnswer);
               });
}

void
era_guard::KeepAlive(lease_id aLease, keep_alive_callback aDone)
{
  if (IsPast(aLease.era)) {
    mListener.post([done = std::move(aDone)] {
      done(errc::kLeaseNotFound, { clock::Now() });
    });
    return;
  }
  mStore.KeepAlive(
    aLease,
    [this, aLease, done = std::move(aDone)](std::error_code aError,
                                            response_info aAnswer) {
      const auto error = Heard(aError, aAnswer);
      const bool isOther = !error && IsPast(aLease.era);
      done(isOther ? make_error_code(errc::kLeaseNotFound) : error, aAnswer);
    });
}

void
era_guard::Revoke(lease_id aLease)
{
  if (!IsPast(aLease.era)) {
    mStore.Revoke(aLease);
  }
}

} // namespace currantshed::store
