#ifndef CURRANTSHED_MEMBER_MEMBERSHIP_HPP
#define CURRANTSHED_MEMBER_MEMBERSHIP_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/failover/coordinator.hpp"
#include "currantshed/member/fwd.hpp"
#include "currantshed/store/client.hpp"

namespace currantshed::member {

/// A term of a group and its primary, as gossiped between poolers.
struct term_update
{
  group::group_name group;
  position::term_id term = 0;
  upstream::server_id primary;
};

/// A VM that its monitors found failed, in the given incarnation.
struct lost_vm
{
  std::string id;
  failover::incarnation_id incarnation;

  [[nodiscard]] friend bool operator==(const lost_vm&,
                                       const lost_vm&) = default;
};

/// Periodic message between poolers with the sender's state and gossip updates.
struct heartbeat
{
  store::vm sender;
  failover::incarnation_id incarnation;
  /// Increases with each heartbeat of one incarnation.
  std::uint64_t sequence = 0;
  /// Version of the configuration that the sender uses.
  std::uint64_t configuration = 0;
  /// A bounded sample of the VMs that the sender heard from recently.
  std::vector<store::vm> peerSample;
  std::vector<failover::suspicion> suspicions;
  std::vector<term_update> terms;
  /// Requests a heartbeat in reply.
  bool answer = false;
  /// VMs that were found failed; bounded in number.
  std::vector<lost_vm> lost;
};

/// A heartbeat and its receiver.
struct outgoing_heartbeat
{
  store::vm to;
  heartbeat message;
};

/// Settings of a membership.
struct membership_settings
{
  store::vm self;
  failover::incarnation_id incarnation;
  std::chrono::milliseconds interval{ 150 };
  /// A monitored VM that has sent heartbeats counts as failed after this time
  /// without one.
  std::chrono::milliseconds failureTimeout{ 500 };
  /// How long a listed VM counts as live before its first heartbeat.
  std::chrono::milliseconds gracePeriod{ 3000 };
  /// Number of receivers of each heartbeat besides the co-owners.
  unsigned fanout = 8;
  /// Number of poolers that own each group, placed in different failure domains
  /// where possible.
  unsigned owners = 3;
};

/// One pooler's view of the live VMs, built from the platform's listing, which
/// lags, and from heartbeats; and the poolers that own each group. A wrong view
/// can cost performance but never safety. Does no I/O.
class membership
{
public:
  virtual ~membership() = default;

  /// Handles a new listing of the VMs by the platform.
  virtual void Listed(const std::vector<store::vm>& aVms,
                      clock::time_point aNow) = 0;

  virtual void HeartbeatArrived(const heartbeat& aHeartbeat,
                                clock::time_point aNow) = 0;

  /// SetConfiguration, SetSuspicion and SetTerm set what the next heartbeats
  /// carry.
  virtual void SetConfiguration(std::uint64_t aVersion) = 0;
  virtual void SetSuspicion(const failover::suspicion& aSuspicion) = 0;
  virtual void SetTerm(const term_update& aUpdate) = 0;

  /// Sets the groups that the platform lists. Co-owners of a group that this VM
  /// owns get every heartbeat.
  virtual void SetGroups(const std::vector<group::group_name>& aGroups) = 0;

  /// Marks this VM as leaving; it no longer owns any group.
  virtual void Leave() = 0;

  /// Advances the time; due no later than NextTick.
  virtual void Tick(clock::time_point aNow) = 0;
  [[nodiscard]] virtual clock::time_point NextTick() const noexcept = 0;
  /// Returns the heartbeats that are due now.
  [[nodiscard]] virtual std::vector<outgoing_heartbeat> TakeHeartbeats() = 0;

  /// Live VMs, including this one, sorted by id.
  [[nodiscard]] virtual std::vector<store::vm> Live() const = 0;

  /// Owners of a group in rank order; the first one leads the group.
  [[nodiscard]] virtual std::vector<store::vm> Owners(
    const group::group_name& aGroup) const = 0;

  /// Version of this view; increases with every change of the live VMs.
  [[nodiscard]] virtual std::uint64_t Version() const noexcept = 0;
};

/// Creates a membership. aSeed seeds the random choice of heartbeat receivers.
[[nodiscard]] std::unique_ptr<membership>
MakeMembership(const membership_settings& aSettings, std::uint64_t aSeed);

/// Chooses the owners of a group among the given VMs, in rank order, by
/// rendezvous hashing with failure domains spread first. All processes that see
/// the same VMs choose the same owners.
[[nodiscard]] std::vector<store::vm>
ChooseOwners(const group::group_name& aGroup,
             const std::vector<store::vm>& aVms,
             unsigned aOwners);

} // namespace currantshed::member

#endif
