#ifndef CURRANTSHED_NODE_PEER_SELECTION_HPP
#define CURRANTSHED_NODE_PEER_SELECTION_HPP

#include <cstddef>
#include <string>
#include <vector>

#include "currantshed/news/fwd.hpp"

namespace currantshed::node {

/// Selects aCount of the VMs in round-robin order, so that all are selected
/// once before any is selected again. aTurn must increase by one with each
/// call.
[[nodiscard]] std::vector<std::string>
SelectRoundRobin(const std::vector<news::peer>& aPeers,
                 std::size_t aCount,
                 std::size_t aTurn);

/// Appends the names that aNames does not contain yet.
void
AppendMissing(std::vector<std::string>& aNames,
              const std::vector<std::string>& aOthers);

/// What a VM knows of its paths to the store's keys.
struct path_state
{
  /// Other VMs of the failure domain forward to this one.
  bool hasForwarders = false;
  /// This VM forwards to the others of its failure domain.
  bool isForwarder = false;
  /// The store does not answer this VM.
  bool isStoreFailing = false;
  /// A forwarder has sent current keys a short time ago.
  bool isForwarded = false;
  /// The configuration may be out of date.
  bool lacksVerification = false;
};

/// Which VMs to poll for the store's keys.
struct poll_plan
{
  bool forwarder = false;
  bool others = false;
};

/// VMs other than the forwarders are polled where these cannot help: they are
/// cut off from the store as well, or this VM is a forwarder that is, and would
/// learn of changes later than its own subscribers.
[[nodiscard]] poll_plan
PlanPoll(const path_state& aState) noexcept;

} // namespace currantshed::node

#endif
