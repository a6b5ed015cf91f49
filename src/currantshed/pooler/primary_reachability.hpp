#ifndef CURRANTSHED_POOLER_PRIMARY_REACHABILITY_HPP
#define CURRANTSHED_POOLER_PRIMARY_REACHABILITY_HPP

#include <chrono>

#include "currantshed/clock/time.hpp"
#include "currantshed/failover/coordinator.hpp"
#include "currantshed/pooler/fwd.hpp"
#include "currantshed/upstream/status.hpp"

namespace currantshed::pooler {

/// Distinguishes a failed primary from one that only this pooler cannot reach,
/// in which case replicas report that they still receive from it. Such a
/// primary must not be failed over; another owner of the group should serve its
/// requests in the meantime.
class primary_reachability
{
public:
  /// A replica shows that the primary is alive if it has heard from it within
  /// the given time.
  explicit primary_reachability(std::chrono::milliseconds aHeardWithin);

  /// Sets the suspicion of this pooler; an empty primary withdraws it.
  void Suspect(const failover::suspicion& aSuspicion);

  /// Processes a status that has just been received from a server.
  void OnStatus(const upstream::server_status& aStatus, clock::time_point aNow);

  /// Whether this pooler suspects a primary that a replica still hears from.
  [[nodiscard]] bool IsCutOff(clock::time_point aNow) const noexcept;

private:
  std::chrono::milliseconds mHeardWithin;
  position::term_id mSuspectedTerm = 0;
  bool mIsSuspected = false;
  clock::time_point mHeardByReplicaAt;
};

} // namespace currantshed::pooler

#endif
