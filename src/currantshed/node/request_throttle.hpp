#ifndef CURRANTSHED_NODE_REQUEST_THROTTLE_HPP
#define CURRANTSHED_NODE_REQUEST_THROTTLE_HPP

#include <chrono>

#include "currantshed/clock/time.hpp"

namespace currantshed::node {

/// When a VM that hears of news may ask for them. While many keys change, such
/// words come far oftener than answers, and each answer tells all that has
/// changed since the question: several questions under way would bring the same
/// several times, behind a link that is busy with it.
class request_throttle
{
public:
  void Asked(clock::time_point aNow) noexcept
  {
    mAskedAt = aNow;
    mIsAwaited = true;
  }

  void OnResponse() noexcept { mIsAwaited = false; }

  [[nodiscard]] bool MayRequest(clock::time_point aNow) const noexcept
  {
    return aNow >= mAskedAt + (mIsAwaited ? kPatience : kPause);
  }

private:
  // Pause after an answer, and after a question that is not answered.
  static constexpr std::chrono::milliseconds kPause{ 20 };
  static constexpr std::chrono::milliseconds kPatience{ 250 };

  clock::time_point mAskedAt{};
  bool mIsAwaited = false;
};

} // namespace currantshed::node

#endif
