#ifndef CURRANTSHED_STORE_KEY_VALUE_HPP
#define CURRANTSHED_STORE_KEY_VALUE_HPP

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "currantshed/clock/time.hpp"

namespace currantshed::store {

/// Counts how often the store has been restored from an older snapshot of
/// itself. A store that does not report an era is in era zero throughout.
using era_id = std::uint64_t;

/// A state of the whole store. Numbers increase with each change within an era.
/// A new era issues numbers of the previous one again, so a state of a later
/// era is newer regardless of its number. All zero means none.
struct revision
{
  era_id era = 0;
  std::uint64_t number = 0;

  friend auto operator<=>(const revision&, const revision&) = default;
};

/// Identifies a lease. In a later era the store may issue the same number
/// again, for another VM's lease. All zero means none.
struct lease_id
{
  era_id era = 0;
  std::uint64_t number = 0;

  friend bool operator==(const lease_id&, const lease_id&) = default;
};

/// Passed to the callback of every call.
struct response_info
{
  /// When the response arrived, or when the call was found to have failed.
  clock::time_point at;
  /// The era in which the store responded; none without a response, or if the
  /// store does not report its era.
  std::optional<era_id> era = {};
};

/// A key with its value.
struct item
{
  std::string key;
  std::string value;
  /// The last change of the key, with the era in which it was read.
  revision changed;
  lease_id lease;
};

/// A change of a key.
struct key_change
{
  /// The key after the change; without a value if it was removed.
  item now;
  bool removed = false;
};

/// A precondition of a transaction: the key was last changed at this revision,
/// or does not exist if the number is zero. The store compares numbers only;
/// the era is the one in which the key was read.
struct condition
{
  std::string key;
  revision changed;
};

/// The changes that a call asks for.
struct changes_request
{
  std::string prefix;
  /// Those after this revision.
  revision after;
  /// Size limit of all their keys and values together, in bytes. If they exceed
  /// it, the call fails with errc::kTooLarge before they are transferred. For a
  /// caller to which a read of the keys is cheaper than many versions of them.
  std::size_t maxBytes = std::numeric_limits<std::size_t>::max();
};

/// Applied as a whole or not at all.
struct transaction
{
  std::vector<condition> conditions;
  /// `item::changed` is ignored.
  std::vector<item> puts;
  std::vector<std::string> removals;
};

/// The outcome of a transaction.
enum class commit_outcome
{
  kApplied,
  /// A condition did not hold; nothing was changed.
  kConflict,
  /// The lease does not exist; nothing was changed.
  kLeaseNotFound,
  /// The transaction was not sent, or the store refused it; nothing was
  /// changed.
  kNotApplied,
  /// No response arrived: the transaction may have been applied, or may still
  /// be.
  kUnknown,
};

/// A key-value store shared by all VMs, with leases and watches. Calls return
/// immediately. Each callback runs exactly once, later, on the thread that
/// drives the store. Errors are of StoreCategory().
class key_value
{
public:
  using item_callback =
    std::function<void(std::error_code, std::optional<item>, response_info)>;
  using range_callback = std::function<
    void(std::error_code, std::vector<item>, revision, response_info)>;
  using watch_callback = std::function<
    void(std::error_code, std::vector<key_change>, revision, response_info)>;
  using commit_callback =
    std::function<void(commit_outcome, revision, response_info)>;
  using grant_callback =
    std::function<void(std::error_code, lease_id, response_info)>;
  using keep_alive_callback =
    std::function<void(std::error_code, response_info)>;

  virtual ~key_value() = default;

  /// Sets the timeout of calls that start from now on, except for watches.
  virtual void SetCallTimeout(std::chrono::milliseconds aTimeout) = 0;

  /// Reads a key; the item is none if the key does not exist.
  virtual void Get(std::string aKey, item_callback aDone) = 0;

  /// Reads all keys with the prefix. The revision passed to the callback is the
  /// store's as of the start of the read.
  virtual void Range(std::string aPrefix, range_callback aDone) = 0;

  /// Waits until there are such changes, for at most the given time, and
  /// returns them. Each watched prefix uses a connection of its own.
  virtual void Watch(changes_request aWhat,
                     std::chrono::milliseconds aMaxWait,
                     watch_callback aDone) = 0;

  /// Returns the changes without waiting. May run alongside a watch of the same
  /// prefix.
  virtual void ChangesSince(changes_request aWhat, watch_callback aDone) = 0;

  /// Cancels the watch of the prefix; its callback runs with an error.
  virtual void CancelWatch(const std::string& aPrefix) = 0;

  virtual void Commit(transaction aTransaction, commit_callback aDone) = 0;

  /// Creates a lease with the given time to live.
  virtual void Grant(std::chrono::milliseconds aTtl, grant_callback aDone) = 0;

  /// Renews a lease. Fails with errc::kLeaseNotFound if it has ended.
  virtual void KeepAlive(lease_id aLease, keep_alive_callback aDone) = 0;

  /// Ends a lease and removes its keys.
  virtual void Revoke(lease_id aLease) = 0;
};

} // namespace currantshed::store

#endif
