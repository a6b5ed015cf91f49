#ifndef CURRANTSHED_STORE_LISTER_HPP
#define CURRANTSHED_STORE_LISTER_HPP

#include <chrono>
#include <optional>
#include <system_error>

#include "currantshed/clock/time.hpp"
#include "currantshed/store/backoff.hpp"
#include "currantshed/store/fwd.hpp"

namespace currantshed::store {

struct lister_settings
{
  /// Time between the starts of two calls; each is drawn up to a fifth
  /// shorter or longer.
  std::chrono::milliseconds interval{ 5000 };
  backoff_settings afterFailure;
};

/// Decides when to read the platform's list: at regular times that many
/// callers don't share, one call at a time, and more rarely in an outage.
/// Does no I/O. Random numbers are at least zero and below one.
class lister
{
public:
  /// The first call is due at once.
  lister(lister_settings aSettings, clock::time_point aNow);

  /// Whether to call client::List now; says so once, until Ended.
  [[nodiscard]] bool Tick(clock::time_point aNow);

  /// The call has ended.
  void Ended(std::error_code aError, clock::time_point aNow, double aRandom);

  /// When Tick is due at the latest; none while a call is under way.
  [[nodiscard]] std::optional<clock::time_point> NextTick() const noexcept;

  /// When the platform last answered; none before its first answer.
  [[nodiscard]] std::optional<clock::time_point> LastAnswer() const noexcept;

private:
  lister_settings mSettings;
  backoff mBackoff;
  std::optional<clock::time_point> mStartAt;
  clock::time_point mStartedAt;
  std::optional<clock::time_point> mLastAnswer;
};

} // namespace currantshed::store

#endif
