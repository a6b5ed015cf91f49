#ifndef CURRANTSHED_POOLER_FAILOVER_WATCH_HPP
#define CURRANTSHED_POOLER_FAILOVER_WATCH_HPP

#include <optional>
#include <string>

#include "currantshed/clock/time.hpp"
#include "currantshed/failover/coordinator.hpp"

namespace currantshed::pooler {

/// Follows one coordinator's actions to tell how long each step of its
/// failovers took: `detect` from the suspicion to the first fence, `fence`
/// from there to the promotion's request (majority and the wait for old
/// acknowledgements to lapse), and `promote` from there to the announcement.
class failover_watch
{
public:
  /// One step that has ended.
  struct step
  {
    std::string name;
    clock::duration took{};
  };

  /// Takes the next action; gives the step that it ends, if any.
  [[nodiscard]] std::optional<step> Observe(const failover::action& aAction,
                                            clock::time_point aNow);

private:
  [[nodiscard]] std::optional<step> On(const failover::report_suspicion& aTold,
                                       clock::time_point aNow);
  [[nodiscard]] std::optional<step> On(const failover::fence& aTold,
                                       clock::time_point aNow);
  [[nodiscard]] std::optional<step> On(const failover::promote& aTold,
                                       clock::time_point aNow);
  [[nodiscard]] std::optional<step> On(const failover::announce& aTold,
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
