#ifndef CURRANTSHED_FAILOVER_COORDINATOR_HPP
#define CURRANTSHED_FAILOVER_COORDINATOR_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/failover/fwd.hpp"
#include "currantshed/group/description.hpp"
#include "currantshed/position/log_position.hpp"
#include "currantshed/store/client.hpp"
#include "currantshed/upstream/status.hpp"

namespace currantshed::failover {

/// Identifier of one incarnation of a process, created at its start and never
/// reused, so that a restarted process does not continue what it promised
/// before.
using incarnation_id = std::string;

/// Report of a pooler that it cannot reach the primary of a term; sent to the
/// other owners of the group with each heartbeat while that lasts.
struct suspicion
{
  group::group_name group;
  position::term_id term = 0;
  upstream::server_id primary;
};

/// Requests the status of a server on the control connection; answered by
/// StatusArrived or StatusFailed.
struct probe
{
  upstream::server_id server;
};

/// Requests a server to accept a term above its own and to follow no primary
/// until one is promoted; answered by FenceAnswered.
struct fence
{
  upstream::server_id server;
  position::term_id term = 0;
};

/// Requests a server fenced at the term to become its primary; answered by
/// PromoteAnswered. Sent at most once per term.
struct promote
{
  upstream::server_id server;
  position::term_id term = 0;
};

/// Requests a server to follow the primary of a term; answered by
/// FollowAnswered.
struct follow
{
  upstream::server_id server;
  position::term_id term = 0;
  upstream::server_id primary;
};

/// Reads the group's term record from the platform; answered by RecordRead.
struct read_record
{};

/// Writes the group's term record if its version is still the expected one;
/// answered by RecordSwapped.
struct swap_record
{
  std::string value;
  store::index expected = 0;
};

/// Announces the current primary of the group to its owners and to the engine.
struct announce
{
  position::term_id term = 0;
  upstream::server_id primary;
};

/// Reports to the other owners of the group that this pooler cannot reach the
/// primary; an empty primary withdraws the report.
struct report_suspicion
{
  suspicion report;
};

using action = std::variant<probe,
                            fence,
                            promote,
                            follow,
                            read_record,
                            swap_record,
                            announce,
                            report_suspicion>;

/// Limits and times of one coordinator.
struct coordinator_settings
{
  /// Name of the VM of this pooler.
  std::string vm;
  incarnation_id incarnation;
  std::string failureDomain;
  /// Rank among the owners of the group, from zero. A higher rank waits longer
  /// before it begins a failover, so that concurrent failovers are rare.
  unsigned rank = 0;
  /// Number of poolers that own the group now.
  unsigned owners = 1;
  std::chrono::milliseconds probeInterval{ 50 };
  std::chrono::milliseconds probeTimeout{ 150 };
  /// How long a primary may fail to answer before it is suspected.
  std::chrono::milliseconds suspectAfter{ 200 };
  /// How long an acknowledgement may be valid (see engine_settings): the time
  /// that a promoter waits after the fence.
  std::chrono::milliseconds validity{ 200 };
  /// Number of terms that this pooler keeps reserved for the group.
  unsigned reserve = 2;
};

/// Decides about the primary of one group, at one of the poolers that own it:
/// failure detection, terms, fencing, choice of the newest history, promotion,
/// and repair of servers that do not follow the primary. Performs no I/O: it
/// takes events with the current time and returns actions. Not thread-safe.
class coordinator
{
public:
  virtual ~coordinator() = default;

  virtual void Configure(const group::description& aGroup,
                         unsigned aRank,
                         unsigned aOwners,
                         clock::time_point aNow) = 0;

  virtual void StatusArrived(const upstream::server_id& aServer,
                             const upstream::server_status& aStatus,
                             clock::time_point aAskedAt,
                             clock::time_point aNow) = 0;

  virtual void StatusFailed(const upstream::server_id& aServer,
                            clock::time_point aNow) = 0;

  /// Report of another owner that it cannot reach the primary; an empty primary
  /// withdraws it.
  virtual void PeerSuspects(const std::string& aVm,
                            const std::string& aFailureDomain,
                            const suspicion& aReport,
                            clock::time_point aNow) = 0;

  /// Announcement of the primary by another owner.
  virtual void PeerAnnounces(position::term_id aTerm,
                             const upstream::server_id& aPrimary,
                             clock::time_point aNow) = 0;

  /// Response to fence, promote or follow, with the status of the server after
  /// it accepted or refused. Without a response, aAccepted is false and aStatus
  /// has term zero.
  virtual void FenceAnswered(const upstream::server_id& aServer,
                             position::term_id aTerm,
                             bool aAccepted,
                             const upstream::server_status& aStatus,
                             clock::time_point aNow) = 0;

  virtual void PromoteAnswered(const upstream::server_id& aServer,
                               position::term_id aTerm,
                               bool aAccepted,
                               const upstream::server_status& aStatus,
                               clock::time_point aNow) = 0;

  virtual void FollowAnswered(const upstream::server_id& aServer,
                              position::term_id aTerm,
                              bool aAccepted,
                              const upstream::server_status& aStatus,
                              clock::time_point aNow) = 0;

  /// Response of the platform to read_record; aReached is false if the platform
  /// cannot be reached.
  virtual void RecordRead(bool aReached,
                          const store::entry& aEntry,
                          clock::time_point aNow) = 0;

  /// Response of the platform to swap_record.
  virtual void RecordSwapped(store::swap_outcome aOutcome,
                             clock::time_point aNow) = 0;

  virtual void Tick(clock::time_point aNow) = 0;

  /// Latest time at which Tick must be called.
  [[nodiscard]] virtual clock::time_point NextTick() const noexcept = 0;

  /// Returns the actions since the last call, oldest first.
  [[nodiscard]] virtual std::vector<action> TakeActions() = 0;
};

/// Creates the coordinator of one group.
[[nodiscard]] std::unique_ptr<coordinator>
MakeCoordinator(const coordinator_settings& aSettings);

} // namespace currantshed::failover

#endif
