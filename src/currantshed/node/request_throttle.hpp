#ifndef CURRANTSHED_NODE_REQUEST_THROTTLE_HPP
#define CURRANTSHED_NODE_REQUEST_THROTTLE_HPP

#include <chrono>

#include "currantshed/clock/time.hpp"

namespace currantshed::node {

/// Limits how often a VM requests changes after notifications. While many keys
/// change, notifications arrive far more often than responses, and each
/// response contains all changes since its request: several requests in flight
/// would transfer the same changes several times over an already busy link.
class request_throttle
{
public:
  void OnRequestSent(clock::time_point aNow) noexcept
  {
    mSentAt = aNow;
    mIsInFlight = true;
  }

  void OnResponse() noexcept { mIsInFlight = false; }

  [[nodiscard]] bool MayRequest(clock::time_point aNow) const noexcept
  {
    return aNow >= mSentAt + (mIsInFlight ? kTimeout : kMinInterval);
  }

private:
  // Pause after a response, and time-out of a request without one.
  static constexpr std::chrono::milliseconds kMinInterval{ 20 };
  static constexpr std::chrono::milliseconds kTimeout{ 250 };

  clock::time_point mSentAt{};
  bool mIsInFlight = false;
};

} // namespace currantshed::node

#endif
