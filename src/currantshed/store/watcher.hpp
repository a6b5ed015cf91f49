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
  /// How long one call waits for a change.
  std::chrono::milliseconds wait{ 10000 };
  /// Minimum time between the starts of two calls that return nothing new, so
  /// that a platform which ends each wait immediately is not polled in a tight
  /// loop.
  std::chrono::milliseconds pause{ 1000 };
  backoff_settings afterFailure;
};

/// Requests a call of client::Watch; completed by Ended.
struct start_watch
{
  index known = 0;
  std::chrono::milliseconds maxWait{ 0 };
};

/// Delivers the key's current content: always the first time, and afterwards
/// only if it is newer than everything delivered before.
struct deliver_entry
{
  entry content;
};

using watcher_action = std::variant<start_watch, deliver_entry>;

/// Keeps a watch on one key: one call at a time, retried through outages. Never
/// delivers an older version after a newer one. Performs no I/O. Random numbers
/// are in [0, 1).
class watcher
{
public:
  watcher(watcher_settings aSettings, clock::time_point aNow);

  /// Reports the end of the call that start_watch requested.
  void Ended(std::error_code aError,
             const entry& aEntry,
             clock::time_point aNow,
             double aRandom);

  /// Starts the next call if it is due.
  void Tick(clock::time_point aNow);

  /// When Tick must be called next; none while a call is in progress.
  [[nodiscard]] std::optional<clock::time_point> NextTick() const noexcept;

  /// Returns the actions since the last call, oldest first.
  [[nodiscard]] std::vector<watcher_action> TakeActions();

  /// When the platform last responded successfully; none before the first
  /// response.
  [[nodiscard]] std::optional<clock::time_point> LastAnswer() const noexcept;

private:
  void Start(clock::time_point aNow);
  [[nodiscard]] bool Deliver(const entry& aEntry);

  watcher_settings mSettings;
  backoff mBackoff;
  /// When the next call starts; none while one is in progress.
  std::optional<clock::time_point> mStartAt;
  clock::time_point mStartedAt;
  /// The version in the platform's last response, to which the next watch
  /// refers. May be older than the version delivered.
  index mLastVersion = 0;
  /// The newest version delivered.
  std::optional<index> mDelivered;
  std::optional<clock::time_point> mLastAnswer;
  std::vector<watcher_action> mActions;
};

} // namespace currantshed::store

#endif
