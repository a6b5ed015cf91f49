#ifndef CURRANTSHED_CUSTOMER_TOKEN_CACHE_HPP
#define CURRANTSHED_CUSTOMER_TOKEN_CACHE_HPP

#include <chrono>
#include <deque>
#include <optional>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "currantshed/clock/time.hpp"

namespace currantshed::customer {

/// How long a token permits a send, counted from its request. A request for
/// tokens takes a few milliseconds, and the rest is the time in which most
/// operations find a connection. A window of sends may hold the tokens of a
/// window that is longer by this time.
inline constexpr std::chrono::milliseconds kTokenLifetime{ 300 };

/// Tokens granted to this VM that it has not used. They expire shortly after
/// they were requested, so that a VM that was paused has none left: by then the
/// quota coordinator counts them as used. Does not read the clock.
class token_cache
{
public:
  /// Adds tokens that were requested at that time: granted ones, or those of
  /// operations that ended unsent, which keep their age.
  void Put(const std::string& aCustomer,
           unsigned aCount,
           clock::time_point aAskedAt);

  /// Takes the oldest valid token. Returns when it was requested, or nothing if
  /// there is none.
  [[nodiscard]] std::optional<clock::time_point> Take(
    const std::string& aCustomer,
    clock::time_point aNow);

private:
  struct batch
  {
    unsigned count = 0;
    clock::time_point askedAt;
  };

  /// By customer, in the order of their requests.
  absl::flat_hash_map<std::string, std::deque<batch>> mBatches;
};

} // namespace currantshed::customer

#endif
