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
  /// Time between the starts of two calls. Each interval varies randomly by up
  /// to a fifth in either direction.
  std::chrono::milliseconds interval{ 5000 };
  backoff_settings afterFailure;
};

/// Schedules the calls that read the platform's list of VMs: periodically with
/// jitter, one call at a time, and with backoff during an outage. Performs no
/// I/O. Random numbers are in [0, 1).
class lister
{
public:
  /// The first call is due immediately.
  lister(lister_settings aSettings, clock::time_point aNow);

  /// Returns whether to call client::List now. Returns true once per call, and
  /// not again before Ended.
  [[nodiscard]] bool Tick(clock::time_point aNow);

  /// Reports the end of the call.
  void Ended(std::error_code aError, clock::time_point aNow, double aRandom);

  /// When Tick must be called next; none while a call is in progress.
  [[nodiscard]] std::optional<clock::time_point> NextTick() const noexcept;

  /// When the platform last responded successfully; none before the first
  /// response.
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
