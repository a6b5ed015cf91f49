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

/// A term of a group and its primary, as passed on between poolers.
struct term_update
{
  group::group_name group;
  position::term_id term = 0;
  upstream::server_id primary;
};

/// A VM that was watched and has fallen silent, in the life named.
struct lost_vm
{
  std::string id;
  failover::incarnation_id incarnation;

  [[nodiscard]] friend bool operator==(const lost_vm&,
                                       const lost_vm&) = default;
};

/// What one pooler tells another in one short message.
struct heartbeat
{
  store::vm sender;
  failover::incarnation_id incarnation;
  /// Goes up with each heartbeat of one incarnation.
  std::uint64_t sequence = 0;
  /// Version of the configuration in force at the sender.
  std::uint64_t configuration = 0;
  /// VMs that the sender has heard of lately, a bounded few.
  std::vector<store::vm> peerSample;
  std::vector<failover::suspicion> suspicions;
  std::vector<term_update> terms;
  /// Asks the receiver for a heartbeat back.
  bool answer = false;
  /// VMs that were found to be silent, a bounded number.
  std::vector<lost_vm> lost;
};

/// A heartbeat to be sent to one VM.
struct outgoing_heartbeat
{
  store::vm to;
  heartbeat message;
};

/// Bounds and times of a roster.
struct membership_settings
{
  store::vm self;
  failover::incarnation_id incarnation;
  std::chrono::milliseconds interval{ 150 };
  /// A watched VM that sent heartbeats and has been silent for this long is
  /// taken for dead.
  std::chrono::milliseconds failureTimeout{ 500 };
  /// How long a VM that the platform lists counts as live before it has sent
  /// its first heartbeat.
  std::chrono::milliseconds gracePeriod{ 3000 };
  /// Peers that get each heartbeat.
  unsigned fanout = 8;
  /// Poolers that own a group, in different failure domains where it can be.
  unsigned owners = 3;
};

/// The VMs that one pooler takes for live, from the platform's lagging list
/// and from heartbeats, and the poolers that own each group. A wrong view
/// costs speed, never safety. Does no I/O.
class membership
{
public:
  virtual ~membership() = default;

  /// The platform's list, newly read.
  virtual void Listed(const std::vector<store::vm>& aVms,
                      clock::time_point aNow) = 0;

  virtual void HeartbeatArrived(const heartbeat& aBeat,
                                clock::time_point aNow) = 0;

  /// Sets what the next heartbeats carry.
  virtual void SetConfiguration(std::uint64_t aVersion) = 0;
  virtual void SetSuspicion(const failover::suspicion& aWord) = 0;
  virtual void SetTerm(const term_update& aUpdate) = 0;

  /// Names the groups that the platform lists: co-owners of a group that this
  /// VM owns always get its heartbeats.
  virtual void SetGroups(const std::vector<group::group_name>& aGroups) = 0;

  /// Marks this VM as leaving: it stops to be an owner.
  virtual void Leave() = 0;

  virtual void Tick(clock::time_point aNow) = 0;
  [[nodiscard]] virtual clock::time_point NextTick() const noexcept = 0;
  [[nodiscard]] virtual std::vector<outgoing_heartbeat> TakeHeartbeats() = 0;

  /// VMs taken for live, this one included, by id.
  [[nodiscard]] virtual std::vector<store::vm> Live() const = 0;

  /// Owners of a group in rank order; the first one leads it.
  [[nodiscard]] virtual std::vector<store::vm> Owners(
    const group::group_name& aGroup) const = 0;

  /// Version of this view; goes up with every change of the live VMs.
  [[nodiscard]] virtual std::uint64_t Version() const noexcept = 0;
};

/// Makes a roster; aSeed drives the choice of the peers that get heartbeats.
[[nodiscard]] std::unique_ptr<membership>
MakeMembership(const membership_settings& aSettings, std::uint64_t aSeed);

/// Owners of a group among the given VMs, in rank order, by rendezvous
/// hashing and spread over failure domains first. Every process that sees
/// the same VMs comes to the same answer.
[[nodiscard]] std::vector<store::vm>
ChooseOwners(const group::group_name& aGroup,
             const std::vector<store::vm>& aVms,
             unsigned aOwners);

} // namespace currantshed::member

#endif
