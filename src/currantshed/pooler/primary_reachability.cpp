#include "currantshed/pooler/primary_reachability.hpp"

namespace currantshed::pooler {

primary_reachability::primary_reachability(
  std::chrono::milliseconds aHeardWithin)
  : mHeardWithin(aHeardWithin)
{
}

void
primary_reachability::Suspect(const failover::suspicion& aSuspicion)
{
  mIsSuspected = !aSuspicion.primary.empty();
  mSuspectedTerm = aSuspicion.term;
  // Earlier statuses of replicas may predate the failure of the primary.
  mHeardByReplicaAt = {};
}

void
primary_reachability::OnStatus(const upstream::server_status& aStatus,
                               clock::time_point aNow)
{
  const bool hearsPrimary = aStatus.role == upstream::server_role::kReplica &&
                            aStatus.term == mSuspectedTerm &&
                            aStatus.sincePrimary &&
                            *aStatus.sincePrimary <= mHeardWithin;
  if (mIsSuspected && hearsPrimary) {
    mHeardByReplicaAt = aNow;
  }
}

bool
primary_reachability::IsCutOff(clock::time_point aNow) const noexcept
{
  return mIsSuspected && mHeardByReplicaAt != clock::time_point{} &&
         aNow - mHeardByReplicaAt <= mHeardWithin;
}

} // namespace currantshed::pooler
