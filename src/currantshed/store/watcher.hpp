#ifndef CURRANTSHED_STORE_WATCHER_HPP
#define CURRANTSHED_STORE_WATCHER_HPP

#include <chrono>
#include <optional>
#include <system_error>
#include <variant>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/store/backoff.hpp"
#include "currantshed/store/client.hpp"
#include "currantshed/store/fwd.hpp"

namespace currantshed::store {

struct watcher_settings
{
  /// How long one call of the platform waits for a change.
  std::chrono::milliseconds wait{ 10000 };
  /// Time between the starts of two calls that bring nothing new, at the
  /// least: a platform that ends each wait at once is not called in a loop.
  std::chrono::milliseconds pause{ 1000 };
  backoff_settings afterFailure;
};

/// Calls client::Watch; answered by Ended.
struct start_watch
{
  index known = 0;
  std::chrono::milliseconds maxWait{ 0 };
};

/// Hands over what the key holds now: the first time in any case, and later
/// only what is newer than all that was handed over before.
struct deliver_entry
{
  entry content;
};

using watcher_action = std::variant<start_watch, deliver_entry>;

/// Keeps one key watched: one call at a time, through outages, and without
/// ever going back. Does no I/O. Random numbers are at least zero and below
/// one.
class watcher
{
public:
  watcher(watcher_settings aSettings, clock::time_point aNow);

  /// The call that start_watch asked for has ended.
  void Ended(std::error_code aError,
             const entry& aEntry,
             clock::time_point aNow,
             double aRandom);

  void Tick(clock::time_point aNow);

  /// When Tick is due at the latest; none while a call is under way.
  [[nodiscard]] std::optional<clock::time_point> NextTick() const noexcept;

  /// Hands over the actions since the last call, oldest first.
  [[nodiscard]] std::vector<watcher_action> TakeActions();

  /// When the platform last answered; none before its first answer.
  [[nodiscard]] std::optional<clock::time_point> LastAnswer() const noexcept;

private:
  void Start(clock::time_point aNow);
  [[nodiscard]] bool Deliver(const entry& aEntry);

  watcher_settings mSettings;
  backoff mBackoff;
  /// When the next call begins; none while one is under way.
  std::optional<clock::time_point> mStartAt;
  clock::time_point mStartedAt;
  /// The version that the platform told last; it may be older than what was
  /// handed over, and is what the next wait refers to.
  index mSeen = 0;
  /// The newest version handed over.
  std::optional<index> mDelivered;
  std::optional<clock::time_point> mLastAnswer;
  std::vector<watcher_action> mActions;
};

} // namespace currantshed::store

#endif
