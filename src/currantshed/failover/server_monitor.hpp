#ifndef CURRANTSHED_FAILOVER_SERVER_MONITOR_HPP
#define CURRANTSHED_FAILOVER_SERVER_MONITOR_HPP

#include <cstddef>
#include <optional>
#include <vector>

#include <absl/container/btree_map.h>

#include "currantshed/failover/coordinator.hpp"
#include "currantshed/failover/primary_ref.hpp"

namespace currantshed::failover {

/// Last known state of one server of the group.
struct server_view
{
  group::member member;
  /// Last status; none if the server never answered.
  std::optional<upstream::server_status> status;
  clock::time_point askedAt;
  /// Number of probes that failed since the last answer.
  unsigned failures = 0;
  /// Time since which there has been no answer.
  clock::time_point silentSince;
  /// When the probe in flight was sent.
  std::optional<clock::time_point> probing;
  clock::time_point nextProbe;
};

/// State of the group's servers as seen by the probes of this pooler. A server
/// that does not answer provides no evidence about the others.
class server_monitor
{
public:
  explicit server_monitor(const coordinator_settings& aSettings);

  void Configure(const group::description& aGroup, clock::time_point aNow);

  void Answered(const upstream::server_id& aServer,
                const upstream::server_status& aStatus,
                clock::time_point aAskedAt,
                clock::time_point aNow);
  void Failed(const upstream::server_id& aServer, clock::time_point aNow);

  /// Sends the probes that are due and times out those in flight for too long.
  void Tick(clock::time_point aNow, std::vector<action>& aOut);
  [[nodiscard]] clock::time_point NextTick() const noexcept;

  [[nodiscard]] const absl::btree_map<upstream::server_id, server_view>&
  Servers() const noexcept
  {
    return mServers;
  }

  [[nodiscard]] const server_view* Find(
    const upstream::server_id& aServer) const;

  /// Whether the server answered a recently sent probe. A late answer says
  /// nothing about the present.
  [[nodiscard]] bool IsFresh(const server_view& aServer,
                             clock::time_point aNow) const;

  /// Whether probes failed repeatedly for as long as it takes to suspect a
  /// silent primary. A server that was merely not probed is not unreachable.
  [[nodiscard]] bool IsUnreachable(const upstream::server_id& aServer,
                                   clock::time_point aNow) const;

  /// Whether probes failed repeatedly for the given time.
  [[nodiscard]] bool IsUnreachableFor(const upstream::server_id& aServer,
                                      clock::duration aTime,
                                      clock::time_point aNow) const;

  /// Whether enough other servers reported recently that they hear from the
  /// primary to form a majority with it.
  [[nodiscard]] bool IsReachedByMajority(const primary_ref& aPrimary,
                                         clock::time_point aNow) const;

  /// Smallest number of servers that is more than half of the group.
  [[nodiscard]] std::size_t Majority() const noexcept;

  /// Whether a majority answered recently. Without it no failover can complete,
  /// and newer states may exist that this pooler does not see.
  [[nodiscard]] bool HasMajority(clock::time_point aNow) const;

  /// Highest term reported by any server.
  [[nodiscard]] position::term_id HighestTerm() const;

  /// Server that reports itself primary in the highest term, if a majority of
  /// the group has accepted that term.
  [[nodiscard]] primary_ref AcceptedPrimary() const;

  /// Whether the primary and a majority in its term answered recently.
  [[nodiscard]] bool IsInForce(const primary_ref& aPrimary,
                               clock::time_point aNow) const;

  /// Whether a majority reported recently that it sees no primary: fenced,
  /// following no primary, or without contact to the one it follows.
  [[nodiscard]] bool SeesNoPrimaryByMajority(clock::time_point aNow) const;

private:
  std::chrono::milliseconds mProbeInterval;
  std::chrono::milliseconds mProbeTimeout;
  std::chrono::milliseconds mSuspectAfter;
  absl::btree_map<upstream::server_id, server_view> mServers;
};

} // namespace currantshed::failover

#endif
