#ifndef CURRANTSHED_CTL_SLEEP_CLOCK_HPP
#define CURRANTSHED_CTL_SLEEP_CLOCK_HPP

#include <chrono>

#include "currantshed/clock/time.hpp"
#include "currantshed/ctl/fwd.hpp"

namespace currantshed::ctl {

/// A clock that can also sleep; used to wait between attempts.
class sleep_clock
{
public:
  virtual ~sleep_clock() = default;

  [[nodiscard]] virtual clock::time_point Now() = 0;

  virtual void Sleep(std::chrono::milliseconds aTime) = 0;
};

} // namespace currantshed::ctl

#endif
