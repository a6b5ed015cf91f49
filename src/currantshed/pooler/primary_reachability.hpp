#ifndef CURRANTSHED_POOLER_PRIMARY_REACHABILITY_HPP
#define CURRANTSHED_POOLER_PRIMARY_REACHABILITY_HPP

#include <chrono>

#include "currantshed/clock/time.hpp"
#include "currantshed/failover/coordinator.hpp"
#include "currantshed/pooler/fwd.hpp"
#include "currantshed/upstream/status.hpp"

namespace currantshed::pooler {

/// Tells a primary that has failed from one that only this pooler can't
/// reach: then replicas say that they still hear it. A failover would be wrong
/// and doesn't come; another owner of the group should serve it meanwhile.
class primary_reachability
{
public:
  /// A replica that has heard the primary within this time vouches for it.
  explicit primary_reachability(std::chrono::milliseconds aHeardWithin);

  /// This pooler's own suspicion; an empty primary withdraws it.
  void Suspect(const failover::suspicion& aSuspicion);

  /// A server's status as it just came.
  void Heard(const upstream::server_status& aStatus, clock::time_point aNow);

  /// Whether this pooler alone is cut off from a primary that lives.
  [[nodiscard]] bool IsCutOff(clock::time_point aNow) const noexcept;

private:
  std::chrono::milliseconds mHeardWithin;
  position::term_id mSuspectedTerm = 0;
  bool mIsSuspected = false;
  clock::time_point mHeardByReplicaAt;
};

} // namespace currantshed::pooler

#endif
