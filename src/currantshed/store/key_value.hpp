#ifndef CURRANTSHED_STORE_KEY_VALUE_HPP
#define CURRANTSHED_STORE_KEY_VALUE_HPP

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "currantshed/clock/time.hpp"

namespace currantshed::store {

/// Counts the times that the store has come back from an older copy of itself.
/// States of a store that tells nothing of that are all of era zero.
using era_id = std::uint64_t;

/// A state of the whole store. Numbers count changes within an era and are
/// given out again in the next one, so a state of a later era is the newer one
/// whatever the numbers. All zero stands for none.
struct revision
{
  era_id era = 0;
  std::uint64_t number = 0;

  friend auto operator<=>(const revision&, const revision&) = default;
};

/// Names a lease. A number may be given to another VM in a later era, where it
/// names another lease. All zero stands for none.
struct lease_id
{
  era_id era = 0;
  std::uint64_t number = 0;

  friend bool operator==(const lease_id&, const lease_id&) = default;
};

/// What goes with the end of each call.
struct response_info
{
  /// When the answer came, or the lack of one was noticed.
  clock::time_point at;
  /// The era that the answer was given in; none without an answer, or where the
  /// store tells none.
  std::optional<era_id> era = {};
};

/// One key with its value.
struct item
{
  std::string key;
  std::string value;
  /// The key's last change, in the era in which it was read.
  revision changed;
  lease_id lease;
};

/// One change of a key.
struct key_change
{
  /// The key as it was written; without value when it was removed.
  item now;
  bool removed = false;
};

/// A condition of a transaction: the key's last change is still this one;
/// number zero for a key that does not exist. The store compares numbers alone;
/// the era is the one in which the key was read.
struct condition
{
  std::string key;
  revision changed;
};

/// Takes effect as a whole or not at all.
struct transaction
{
  std::vector<condition> conditions;
  /// The revisions of these are not read.
  std::vector<item> puts;
  std::vector<std::string> removals;
};

enum class commit_outcome
{
  kApplied,
  /// A condition did not hold; nothing was changed.
  kConflict,
  /// The lease does not exist; nothing was changed.
  kLeaseNotFound,
  /// Nothing was done.
  kNotApplied,
  /// No answer came: it may have been applied, or may yet be.
  kUnknown,
};

/// A store of keys that all VMs share, with leases and watches. Calls return
/// at once; each callback comes once, later, on the thread that drives the
/// store. Errors are of the store's category.
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

  /// How long calls that begin from now on wait for their answers, but for
  /// watches.
  virtual void SetCallTimeout(std::chrono::milliseconds aTimeout) = 0;

  virtual void Get(std::string aKey, item_callback aDone) = 0;

  /// Reads all keys with the prefix, and the store's revision before.
  virtual void Range(std::string aPrefix, range_callback aDone) = 0;

  /// Waits for changes after the revision, at most for the given time. Each
  /// watch of a prefix uses a connection of its own.
  virtual void Watch(std::string aPrefix,
                     revision aAfter,
                     std::chrono::milliseconds aMaxWait,
                     watch_callback aDone) = 0;

  /// The changes after the revision, at once; beside a watch of the prefix.
  virtual void ChangesSince(std::string aPrefix,
                            revision aAfter,
                            watch_callback aDone) = 0;

  /// Gives a watch up: its callback comes with an error.
  virtual void CancelWatch(const std::string& aPrefix) = 0;

  virtual void Commit(transaction aWhat, commit_callback aDone) = 0;

  virtual void Grant(std::chrono::milliseconds aTtl, grant_callback aDone) = 0;

  /// Renews a lease; errc::kLeaseNotFound when it has ended.
  virtual void KeepAlive(lease_id aLease, keep_alive_callback aDone) = 0;

  /// Ends a lease and removes its keys.
  virtual void Revoke(lease_id aLease) = 0;
};

} // namespace currantshed::store

#endif
