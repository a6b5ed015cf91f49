#ifndef CURRANTSHED_NODE_FORWARDING_BATCH_HPP
#define CURRANTSHED_NODE_FORWARDING_BATCH_HPP

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/lead/group_monitor.hpp"

namespace currantshed::node {

/// What another VM said of its own way to a group's primary.
struct forwarded_reach_update
{
  std::string service;
  std::string vm;
  lead::reach_update news;
};

/// What a VM passes on between those that watch groups and the others of its
/// failure domain, gathered for a moment: one message with several groups costs
/// a VM much less than a message for each. Asks for no time and does no I/O.
class forwarding_batch
{
public:
  /// There is newer word on the group for the others of the failure domain.
  /// What a change of the primary waits for is urgent.
  void AddGroup(const std::string& aService,
                bool aIsUrgent,
                clock::time_point aNow);

  /// The groups whose word is to be passed on now; none before it is time. The
  /// pause is that between two times.
  [[nodiscard]] std::vector<std::string> TakeGroups(
    std::chrono::milliseconds aPause,
    clock::time_point aNow);

  /// Another VM has said this. Of each group whoever watches it needs the
  /// freshest word on the primary, and each word that a term was given up.
  void AddReachUpdate(forwarded_reach_update aReach, clock::time_point aNow);

  /// What is to be passed on now; none before it is time.
  [[nodiscard]] std::vector<forwarded_reach_update> TakeReachUpdates(
    clock::time_point aNow);

  [[nodiscard]] clock::time_point NextTick() const noexcept;

private:
  absl::btree_set<std::string> mWords;
  clock::time_point mWordsAt = clock::time_point::max();
  clock::time_point mLastWords{};
  /// By group, the freshest.
  absl::btree_map<std::string, forwarded_reach_update> mFreshest;
  /// By group and VM.
  absl::btree_map<std::pair<std::string, std::string>, forwarded_reach_update>
    mObeyed;
  clock::time_point mReachesAt = clock::time_point::max();
};

} // namespace currantshed::node

#endif
