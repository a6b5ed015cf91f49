#ifndef CURRANTSHED_MEMBER_GOSSIP_QUEUE_HPP
#define CURRANTSHED_MEMBER_GOSSIP_QUEUE_HPP

#include <optional>

#include <absl/container/btree_map.h>

#include "currantshed/member/membership.hpp"

namespace currantshed::member {

/// Gossip updates that are piggybacked on the next heartbeats: terms,
/// suspicions and lost VMs. Each is repeated in a bounded number of heartbeats,
/// except that a suspicion is sent until it is withdrawn.
class gossip_queue
{
public:
  /// Queues a term. Returns false if the term is older than or the same as the
  /// known one; otherwise it should be sent at once.
  bool SetTerm(const term_update& aUpdate);
  void SetSuspicion(const failover::suspicion& aUpdate);
  void SetLost(const lost_vm& aUpdate);

  /// Drops the update on a lost VM, once the VM has been heard from again.
  void EraseLost(const std::string& aId) { mLost.erase(aId); }

  /// Adds the pending updates to a heartbeat and decrements their remaining
  /// repeats.
  void Fill(heartbeat& aHeartbeat);

private:
  struct repeated_term
  {
    term_update update;
    unsigned remaining = 0;
  };

  struct repeated_suspicion
  {
    failover::suspicion latest;
    // Set once the suspicion is withdrawn; unset means that it is repeated
    // without limit.
    std::optional<unsigned> remaining;
  };

  struct repeated_loss
  {
    failover::incarnation_id incarnation;
    unsigned remaining = 0;
  };

  void FillSuspicions(heartbeat& aHeartbeat);
  void FillTerms(heartbeat& aHeartbeat);
  void FillLost(heartbeat& aHeartbeat);

  absl::btree_map<group::group_name, repeated_suspicion> mSuspicions;
  absl::btree_map<group::group_name, repeated_term> mTerms;
  absl::btree_map<std::string, repeated_loss> mLost;
};

} // namespace currantshed::member

#endif
