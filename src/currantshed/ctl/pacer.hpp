#ifndef CURRANTSHED_CTL_PACER_HPP
#define CURRANTSHED_CTL_PACER_HPP

#include <chrono>

#include "currantshed/clock/time.hpp"
#include "currantshed/ctl/fwd.hpp"

namespace currantshed::ctl {

/// The time, and the wait between two tries.
class pacer
{
public:
  virtual ~pacer() = default;

  [[nodiscard]] virtual clock::time_point Now() = 0;

  virtual void Pause(std::chrono::milliseconds aTime) = 0;
};

} // namespace currantshed::ctl

#endif
