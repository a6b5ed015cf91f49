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

/// How long a lease lasts, and how often it is renewed.
struct lease_times
{
  /// Life of the lease: how long a VM that has died stays listed.
  std::chrono::milliseconds ttl{ 2000 };
  /// Time between renewals: two may fail before the lease ends.
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

/// Keeps one key in the store for as long as this process lives: takes a
/// lease, writes the key under it, renews it, and writes the key again when it
/// is gone. A write holds only over the key's state as it was seen, so that
/// one which takes effect late can't replace a newer one.
class registration
{
public:
  /// The view must hold the key's prefix.
  registration(key_value& aStore,
               const prefix_view& aView,
               std::string aKey,
               registration_settings aSettings);
  ~registration();
  registration(const registration&) = delete;
  registration& operator=(const registration&) = delete;

  /// What the key is to hold.
  void SetValue(std::string aValue);

  /// Takes a lease with other times, and moves the key to it; the former lease
  /// is left to end by itself.
  void SetLease(const lease_times& aLease);

  /// Whether the store has taken the key under a lease with these times.
  [[nodiscard]] bool IsWrittenWith(const lease_times& aLease) const;

  /// Whether the last call failed: the store, or this VM's way to it, is away.
  [[nodiscard]] bool IsFailing() const noexcept { return mIsFailing; }

  /// When the last call that was answered was sent.
  [[nodiscard]] clock::time_point LastAnsweredSentAt() const noexcept
  {
    return mAnsweredFor;
  }

  /// Has the callback called whenever the store answers again after calls
  /// that failed.
  void OnRecovered(std::function<void()> aRegained);

  /// Has the callback called whenever the store has taken the key.
  void OnWritten(std::function<void()> aWritten);

  /// Ends the lease, and with it the key.
  void Revoke();

  void Tick(clock::time_point aNow, double aRandom);
  [[nodiscard]] clock::time_point NextTick() const noexcept;

  /// Until when the lease lasts at the least; the past while there is none.
  [[nodiscard]] clock::time_point ValidUntil() const noexcept
  {
    return mValidUntil;
  }

  /// Whether the key stands in the store with the value wanted, as far as the
  /// view tells.
  [[nodiscard]] bool IsListed() const;

  /// Whether the store has taken the key under the present lease: by its
  /// answer, or, where that was lost, by the view.
  [[nodiscard]] bool IsWritten() const { return mIsWritten || IsListed(); }

private:
  void Grant(clock::time_point aNow);
  void Renew(clock::time_point aNow);
  void Write(clock::time_point aNow);
  void Lapsed();
  void Answered(clock::time_point aAsked);
  void Failed(clock::time_point aNow);

  key_value& mStore;
  const prefix_view& mView;
  std::string mKey;
  registration_settings mSettings;
  backoff mBackoff;
  std::string mValue;
  lease_id mLease;
  /// The lease under which the store last took the key.
  lease_id mWrittenLease;
  clock::time_point mValidUntil{};
  clock::time_point mRenewAt{};
  clock::time_point mNotBefore{};
  /// Until when a write under way is waited for to show in the view.
  clock::time_point mWriteSeenBy{};
  bool mIsCalling = false;
  bool mIsEnded = false;
  /// The lease that the key has is not the one that is wanted.
  bool mMustGrant = true;
  bool mIsWritten = false;
  std::function<void()> mWritten;
  bool mIsFailing = false;
  clock::time_point mAnsweredFor{};
  std::function<void()> mRegained;
  double mRandom = 0;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace currantshed::store

#endif
