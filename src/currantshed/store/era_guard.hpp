#ifndef CURRANTSHED_STORE_ERA_GUARD_HPP
#define CURRANTSHED_STORE_ERA_GUARD_HPP

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "currantshed/store/key_value.hpp"

namespace currantshed::store {

/// Decorates a store that may be restored from an older snapshot. Tracks the
/// newest era that any response reports, and rejects responses, revisions and
/// leases of earlier eras: the store issues their numbers again, so in the
/// current era they refer to something else. Not thread-safe.
class era_guard final : public key_value
{
public:
  struct listener
  {
    /// Runs the function later, on the same thread.
    std::function<void(std::function<void()>)> post;
    /// Called with the previous era, if any, and the new one when the store has
    /// been restored or reports its era for the first time.
    std::function<void(std::optional<era_id>, era_id)> eraChanged;
  };

  era_guard(key_value& aStore, listener aListener);

  /// The newest era that a response has reported.
  [[nodiscard]] std::optional<era_id> Era() const noexcept { return mEra; }

  void SetCallTimeout(std::chrono::milliseconds aTimeout) override;
  void Get(std::string aKey, item_callback aDone) override;
  void Range(std::string aPrefix, range_callback aDone) override;

  /// Fails with errc::kStaleEra if the revision is of an earlier era.
  void Watch(changes_request aWhat,
             std::chrono::milliseconds aMaxWait,
             watch_callback aDone) override;
  void ChangesSince(changes_request aWhat, watch_callback aDone) override;

  void CancelWatch(const std::string& aPrefix) override;

  /// A transaction is not sent if a condition is of an earlier era (kConflict)
  /// or if a key is to be written under a lease of an earlier era
  /// (kLeaseNotFound). If the transaction was sent in one era and applied in a
  /// later one, its conditions may have held by coincidence, so the outcome is
  /// kUnknown.
  void Commit(transaction aTransaction, commit_callback aDone) override;

  void Grant(std::chrono::milliseconds aTtl, grant_callback aDone) override;

  /// Fails with errc::kLeaseNotFound if the lease is of an earlier era, even if
  /// its number now identifies another lease.
  void KeepAlive(lease_id aLease, keep_alive_callback aDone) override;
  void Revoke(lease_id aLease) override;

private:
  [[nodiscard]] std::error_code RecordEra(std::error_code aError,
                                          const response_info& aInfo);
  [[nodiscard]] bool IsStale(era_id aEra) const noexcept;
  [[nodiscard]] bool IsStale(
    const std::vector<condition>& aConditions) const noexcept;
  [[nodiscard]] std::optional<commit_outcome> RejectionOf(
    const transaction& aTransaction) const;
  [[nodiscard]] watch_callback WithEraCheck(watch_callback aDone);
  void Reject(watch_callback aDone);

  key_value& mStore;
  listener mListener;
  std::optional<era_id> mEra;
};

} // namespace currantshed::store

#endif
