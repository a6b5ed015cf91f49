#ifndef CURRANTSHED_STORE_ERA_GUARD_HPP
#define CURRANTSHED_STORE_ERA_GUARD_HPP

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "currantshed/store/key_value.hpp"

namespace currantshed::store {

/// A store that may come back from an older copy of itself. Notes the newest
/// era that any answer tells, and keeps answers and positions of earlier ones
/// from whoever calls: revisions are given out again, so in the present era
/// they stand for something else. Belongs to one thread.
class era_guard final : public key_value
{
public:
  struct listener
  {
    /// Calls the function later, on the same thread.
    std::function<void(std::function<void()>)> post;
    /// The store has come back, or told its era for the first time: the era
    /// before, if any, and the present one.
    std::function<void(std::optional<era_id>, era_id)> eraChanged;
  };

  era_guard(key_value& aStore, listener aListener);

  /// The newest era that an answer has told.
  [[nodiscard]] std::optional<era_id> Era() const noexcept { return mEra; }

  void SetCallTimeout(std::chrono::milliseconds aTimeout) override;
  void Get(std::string aKey, item_callback aDone) override;
  void Range(std::string aPrefix, range_callback aDone) override;

  /// Ends with errc::kStaleEra where the revision is of an earlier era.
  void Watch(std::string aPrefix,
             revision aAfter,
             std::chrono::milliseconds aMaxWait,
             watch_callback aDone) override;
  void ChangesSince(std::string aPrefix,
                    revision aAfter,
                    watch_callback aDone) override;

  void CancelWatch(const std::string& aPrefix) override;

  /// Is in conflict where a condition is of an earlier era, has no lease where
  /// a key is to be written under one of an earlier era, and is not sent then.
  /// What is done only in a later one may have held by accident: its outcome is
  /// unknown.
  void Commit(transaction aWhat, commit_callback aDone) override;

  void Grant(std::chrono::milliseconds aTtl, grant_callback aDone) override;

  /// A lease of an earlier era has ended, whatever its number names now.
  void KeepAlive(lease_id aLease, keep_alive_callback aDone) override;
  void Revoke(lease_id aLease) override;

private:
  [[nodiscard]] std::error_code Heard(std::error_code aError,
                                      const response_info& aAnswer);
  [[nodiscard]] bool IsPast(era_id aEra) const noexcept;
  [[nodiscard]] bool IsPast(
    const std::vector<condition>& aConditions) const noexcept;
  [[nodiscard]] std::optional<commit_outcome> RefusalOf(
    const transaction& aWhat) const;
  [[nodiscard]] watch_callback Guarded(watch_callback aDone);
  void Reject(watch_callback aDone);

  key_value& mStore;
  listener mListener;
  std::optional<era_id> mEra;
};

} // namespace currantshed::store

#endif
