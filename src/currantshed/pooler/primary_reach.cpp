#include "currantshed/pooler/primary_reach.hpp"

namespace currantshed::pooler {

primary_reach::primary_reach(std::chrono::milliseconds aVouchedFor)
  : mVouchedFor(aVouchedFor)
{
}

void
primary_reach::Suspect(const failover::suspicion& aWord)
{
  mIsSuspected = !aWord.primary.empty();
  mSuspectedTerm = aWord.term;
  // What replicas said before may be as old as the primary's end.
  mVouchedAt = {};
}

void
primary_reach::Heard(const upstream::server_status& aStatus,
                     clock::time_point aNow)
{
  const bool isVouching = aStatus.role == upstream::server_role::kReplica &&
                          aStatus.term == mSuspectedTerm &&
                          aStatus.sincePrimary &&
                          *aStatus.sincePrimary <= mVouchedFor;
  if (mIsSuspected && isVouching) {
    mVouchedAt = aNow;
  }
}

bool
primary_reach::IsCutOff(clock::time_point aNow) const noexcept
{
  return mIsSuspected && mVouchedAt != clock::time_point{} &&
         aNow - mVouchedAt <= mVouchedFor;
}

} // namespace currantshed::pooler
