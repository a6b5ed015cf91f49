#include "currantshed/pooler/failover_watch.hpp"

#include <variant>

namespace currantshed::pooler {

std::optional<failover_watch::step>
failover_watch::Observe(const failover::action& aAction, clock::time_point aNow)
{
  return std::visit([this, aNow](const auto& aTold) { return On(aTold, aNow); },
                    aAction);
}

std::optional<failover_watch::step>
failover_watch::On(const failover::report_suspicion& aTold,
                   clock::time_point aNow)
{
  if (aTold.report.primary.empty()) {
    mSuspectedAt.reset();
  } else if (!mSuspectedAt) {
    mSuspectedAt = aNow;
  }
  return std::nullopt;
}

std::optional<failover_watch::step>
failover_watch::On(const failover::fence& aTold, clock::time_point aNow)
{
  if (aTold.term <= mTerm) {
    return std::nullopt;
  }
  mTerm = aTold.term;
  mFencedAt = aNow;
  mPromotedAt.reset();
  if (!mSuspectedAt) {
    return std::nullopt;
  }
  return step{ "detect", aNow - *mSuspectedAt };
}

std::optional<failover_watch::step>
failover_watch::On(const failover::promote& aTold, clock::time_point aNow)
{
  if (aTold.term != mTerm || !mFencedAt) {
    return std::nullopt;
  }
  mPromotedAt = aNow;
  return step{ "fence", aNow - *mFencedAt };
}

std::optional<failover_watch::step>
failover_watch::On(const failover::announce& aTold, clock::time_point aNow)
{
  if (aTold.term != mTerm || !mPromotedAt) {
    return std::nullopt;
  }
  const step ended{ "promote", aNow - *mPromotedAt };
  mPromotedAt.reset();
  mFencedAt.reset();
  return ended;
}

} // namespace currantshed::pooler
