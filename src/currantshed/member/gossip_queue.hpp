#ifndef CURRANTSHED_MEMBER_GOSSIP_QUEUE_HPP
#define CURRANTSHED_MEMBER_GOSSIP_QUEUE_HPP

#include <optional>

#include <absl/container/btree_map.h>

#include "currantshed/member/membership.hpp"

namespace currantshed::member {

/// What the next heartbeats carry besides the sender's own state. Each word
/// goes out a bounded number of times, a suspicion as long as it lasts.
class gossip_queue
{
public:
  /// Whether the word is news, to be sent at once.
  bool SetTerm(const term_update& aUpdate);
  void SetSuspicion(const failover::suspicion& aWord);
  void SetLost(const lost_vm& aWord);

  /// The VM is back.
  void EraseLost(const std::string& aId) { mLost.erase(aId); }

  /// Puts the words that are due into a heartbeat, and counts them as sent.
  void Fill(heartbeat& aBeat);

private:
  struct repeated_term
  {
    term_update update;
    unsigned remaining = 0;
  };

  struct repeated_suspicion
  {
    failover::suspicion latest;
    // Set once the suspicion is withdrawn.
    std::optional<unsigned> remaining;
  };

  struct repeated_loss
  {
    failover::incarnation_id incarnation;
    unsigned remaining = 0;
  };

  void FillSuspicions(heartbeat& aBeat);
  void FillTerms(heartbeat& aBeat);
  void FillLost(heartbeat& aBeat);

  absl::btree_map<group::group_name, repeated_suspicion> mSuspicions;
  absl::btree_map<group::group_name, repeated_term> mTerms;
  absl::btree_map<std::string, repeated_loss> mLost;
};

} // namespace currantshed::member

#endif
