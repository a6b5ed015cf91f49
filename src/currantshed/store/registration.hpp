#ifndef CURRANTSHED_STORE_REGISTRATION_HPP
#define CURRANTSHED_STORE_REGISTRATION_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "currantshed/clock/time.hpp"
#include "currantshed/store/backoff.hpp"
#include "currantshed/store/key_value.hpp"
#include "currantshed/store/prefix_view.hpp"

namespace currantshed::store {

/// Duration of a lease and interval of its renewals.
struct lease_times
{
  /// Time to live of the lease: how long a VM stays listed after it has died.
  std::chrono::milliseconds ttl{ 2000 };
  /// Interval between renewals. Short enough that two may fail before the lease
  /// ends.
  std::chrono::milliseconds renewAfter{ 650 };

  [[nodiscard]] friend bool operator==(const lease_times&,
                                       const lease_times&) = default;
};

struct registration_settings
{
  lease_times lease;
  backoff_settings afterFailure{ std::chrono::milliseconds{ 100 },
                                 std::chrono::milliseconds{ 500 } };
};

/// Keeps one key in the store for the lifetime of this process: takes a lease,
/// writes the key under it, renews the lease, and rewrites the key if it is
/// gone. Each write is conditional on the revision of the key that the view
/// shows, so that a delayed write cannot overwrite a newer one.
class registration
{
public:
  /// The view must cover the key.
  registration(key_value& aStore,
               const prefix_view& aView,
               std::string aKey,
               registration_settings aSettings);
  ~registration();
  registration(const registration&) = delete;
  registration& operator=(const registration&) = delete;

  /// Sets the value to be written.
  void SetValue(std::string aValue);

  /// Takes a lease with other times and moves the key to it. The previous lease
  /// is left to expire.
  void SetLease(const lease_times& aLease);

  /// Whether the store has accepted the key under a lease with these times.
  [[nodiscard]] bool IsWrittenWith(const lease_times& aLease) const;

  /// Whether the last call failed: the store is down or unreachable from this
  /// VM.
  [[nodiscard]] bool IsFailing() const noexcept { return mIsFailing; }

  /// When the most recent call that was answered had been sent.
  [[nodiscard]] clock::time_point LastAnsweredSentAt() const noexcept
  {
    return mLastAnsweredSentAt;
  }

  /// Sets the callback that runs when the store answers again after failed
  /// calls.
  void OnRecovered(std::function<void()> aCallback);

  /// Sets the callback that runs whenever the store has accepted the key.
  void OnWritten(std::function<void()> aCallback);

  /// Ends the lease, which removes the key.
  void Revoke();

  /// Makes the call that is due, if any. The random number is in [0, 1).
  void Tick(clock::time_point aNow, double aRandom);

  /// When Tick must be called next; time_point::max() while no call may be
  /// made.
  [[nodiscard]] clock::time_point NextTick() const noexcept;

  /// Until when the lease lasts at least; in the past if there is none.
  [[nodiscard]] clock::time_point ValidUntil() const noexcept
  {
    return mValidUntil;
  }

  /// Whether the view shows the key with the wanted value under the current
  /// lease.
  [[nodiscard]] bool IsListed() const;

  /// Whether the store has accepted the key under the current lease, according
  /// to its response or, if that was lost, to the view.
  [[nodiscard]] bool IsWritten() const { return mIsWritten || IsListed(); }

private:
  void Grant(clock::time_point aNow);
  void Renew(clock::time_point aNow);
  void Write(clock::time_point aNow);
  void OnLeaseLost();
  void OnResponse(clock::time_point aSentAt);
  void OnFailure(clock::time_point aNow);

  key_value& mStore;
  const prefix_view& mView;
  std::string mKey;
  registration_settings mSettings;
  backoff mBackoff;
  std::string mValue;
  lease_id mLease;
  /// The lease under which the store last accepted the key.
  lease_id mWrittenLease;
  clock::time_point mValidUntil{};
  clock::time_point mRenewAt{};
  clock::time_point mNotBefore{};
  /// Until when to wait for the view to show the last write before writing
  /// again.
  clock::time_point mWriteVisibleBy{};
  bool mIsCalling = false;
  bool mIsEnded = false;
  /// Whether a new lease is needed: there is none, or its times have changed.
  bool mMustGrant = true;
  bool mIsWritten = false;
  std::function<void()> mOnWritten;
  bool mIsFailing = false;
  clock::time_point mLastAnsweredSentAt{};
  std::function<void()> mOnRecovered;
  double mRandom = 0;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace currantshed::store

#endif
