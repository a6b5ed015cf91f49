#include "currantshed/pooler/failover_step_timer.hpp"

#include <variant>

namespace currantshed::pooler {

std::optional<failover_step_timer::step>
failover_step_timer::Observe(const failover::action& aAction,
                             clock::time_point aNow)
{
  return std::visit(
    [this, aNow](const auto& aEvent) { return On(aEvent, aNow); }, aAction);
}

std::optional<failover_step_timer::step>
failover_step_timer::On(const failover::report_suspicion& aEvent,
                        clock::time_point aNow)
{
  if (aEvent.report.primary.empty()) {
    mSuspectedAt.reset();
  } else if (!mSuspectedAt) {
    mSuspectedAt = aNow;
  }
  return std::nullopt;
}

std::optional<failover_step_timer::step>
failover_step_timer::On(const failover::fence& aEvent, clock::time_point aNow)
{
  if (aEvent.term <= mTerm) {
    return std::nullopt;
  }
  mTerm = aEvent.term;
  mFencedAt = aNow;
  mPromotedAt.reset();
  if (!mSuspectedAt) {
    return std::nullopt;
  }
  return step{ "detect", aNow - *mSuspectedAt };
}

std::optional<failover_step_timer::step>
failover_step_timer::On(const failover::promote& aEvent, clock::time_point aNow)
{
  if (aEvent.term != mTerm || !mFencedAt) {
    return std::nullopt;
  }
  mPromotedAt = aNow;
  return step{ "fence", aNow - *mFencedAt };
}

std::optional<failover_step_timer::step>
failover_step_timer::On(const failover::announce& aEvent,
                        clock::time_point aNow)
{
  if (aEvent.term != mTerm || !mPromotedAt) {
    return std::nullopt;
  }
  const step ended{ "promote", aNow - *mPromotedAt };
  mPromotedAt.reset();
  mFencedAt.reset();
  return ended;
}

} // namespace currantshed::pooler
