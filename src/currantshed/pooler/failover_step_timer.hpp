#ifndef CURRANTSHED_POOLER_FAILOVER_STEP_TIMER_HPP
#define CURRANTSHED_POOLER_FAILOVER_STEP_TIMER_HPP

#include <optional>
#include <string>

#include "currantshed/clock/time.hpp"
#include "currantshed/failover/coordinator.hpp"

namespace currantshed::pooler {

/// Measures the steps of a failover from the actions of one coordinator:
/// `detect` lasts from the suspicion to the first fence, `fence` from there to
/// the promotion request (a majority of fenced servers and the expiry of
/// earlier acknowledgements), and `promote` from there to the announcement of
/// the new primary.
class failover_step_timer
{
public:
  /// A completed step.
  struct step
  {
    std::string name;
    clock::duration elapsed{};
  };

  /// Processes the next action; returns the step that it completes, if any.
  [[nodiscard]] std::optional<step> Observe(const failover::action& aAction,
                                            clock::time_point aNow);

private:
  [[nodiscard]] std::optional<step> On(const failover::report_suspicion& aEvent,
                                       clock::time_point aNow);
  [[nodiscard]] std::optional<step> On(const failover::fence& aEvent,
                                       clock::time_point aNow);
  [[nodiscard]] std::optional<step> On(const failover::promote& aEvent,
                                       clock::time_point aNow);
  [[nodiscard]] std::optional<step> On(const failover::announce& aEvent,
                                       clock::time_point aNow);
  template<typename Other>
  [[nodiscard]] std::optional<step> On(const Other&, clock::time_point)
  {
    return std::nullopt;
  }

  std::optional<clock::time_point> mSuspectedAt;
  std::optional<clock::time_point> mFencedAt;
  std::optional<clock::time_point> mPromotedAt;
  position::term_id mTerm = 0;
};

} // namespace currantshed::pooler

#endif
