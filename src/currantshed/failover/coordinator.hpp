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

/// Name of one process's life: made at its start, never used again, so that
/// a restarted process does not take up what it promised before.
using incarnation_id = std::string;

/// One pooler's word that it can't reach the primary of a term; sent to the
/// group's other owners with each heartbeat while it lasts.
struct suspicion
{
  group::group_name group;
  position::term_id term = 0;
  upstream::server_id primary;
};

/// Asks a server for its status on the control connection; answered by
/// StatusArrived or StatusFailed.
struct probe
{
  upstream::server_id server;
};

/// Asks a server to accept a term above its own and to serve no primary
/// until one is promoted; answered by FenceAnswered.
struct fence
{
  upstream::server_id server;
  position::term_id term = 0;
};

/// Asks a server fenced at the term to become its primary; answered by
/// PromoteAnswered. Sent at most once for each term.
struct promote
{
  upstream::server_id server;
  position::term_id term = 0;
};

/// Asks a server to follow the primary of a term; answered by
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

/// Tells the group's owners and the engine who leads the group now.
struct announce
{
  position::term_id term = 0;
  upstream::server_id primary;
};

/// Tells the group's other owners that this pooler can't reach the primary;
/// an empty primary withdraws it.
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

/// Bounds and times of one coordinator.
struct coordinator_settings
{
  /// Name of this pooler's VM.
  std::string vm;
  incarnation_id incarnation;
  std::string failureDomain;
  /// Rank among the group's owners, from zero; a later one waits longer
  /// before it begins, so that duels are rare.
  unsigned rank = 0;
  /// Poolers that own the group now.
  unsigned owners = 1;
  std::chrono::milliseconds probeInterval{ 50 };
  std::chrono::milliseconds probeTimeout{ 150 };
  /// How long a primary may be silent before it is suspected.
  std::chrono::milliseconds suspectAfter{ 200 };
  /// How long an acknowledgement may hold (see engine_settings): what a
  /// promoter waits from the fence on.
  std::chrono::milliseconds validity{ 200 };
  /// Terms that this pooler keeps reserved ahead for the group.
  unsigned reserve = 2;
};

/// The decisions about one group's primary at one of the poolers that own
/// the group: detection of failure, terms, fence, choice of the newest
/// history, promotion, and making strayed servers follow. Does no I/O:
/// events and the time go in, actions come out. Not safe for use by several
/// threads.
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

  /// Another owner's word that it can't reach the primary, or none.
  virtual void PeerSuspects(const std::string& aVm,
                            const std::string& aFailureDomain,
                            const suspicion& aReport,
                            clock::time_point aNow) = 0;

  /// Another owner's word on who leads the group.
  virtual void PeerAnnounces(position::term_id aTerm,
                             const upstream::server_id& aPrimary,
                             clock::time_point aNow) = 0;

  /// The answer to fence, promote or follow: the server's status after it
  /// accepted or refused; aAccepted is false also when no answer came, and
  /// aStatus is then of term zero.
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

  /// The platform's answer to read_record; false when the platform can't be
  /// reached.
  virtual void RecordRead(bool aReached,
                          const store::entry& aEntry,
                          clock::time_point aNow) = 0;

  /// The platform's answer to swap_record.
  virtual void RecordSwapped(store::swap_outcome aOutcome,
                             clock::time_point aNow) = 0;

  virtual void Tick(clock::time_point aNow) = 0;

  /// When Tick is due at the latest.
  [[nodiscard]] virtual clock::time_point NextTick() const noexcept = 0;

  /// Hands over the actions since the last call, oldest first.
  [[nodiscard]] virtual std::vector<action> TakeActions() = 0;
};

/// Makes the coordinator of one group.
[[nodiscard]] std::unique_ptr<coordinator>
MakeCoordinator(const coordinator_settings& aSettings);

} // namespace currantshed::failover

#endif
