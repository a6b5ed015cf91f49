#ifndef CURRANTSHED_FAILOVER_SERVER_MONITOR_HPP
#define CURRANTSHED_FAILOVER_SERVER_MONITOR_HPP

#include <cstddef>
#include <optional>
#include <vector>

#include <absl/container/btree_map.h>

#include "currantshed/failover/coordinator.hpp"
#include "currantshed/failover/primary_ref.hpp"

namespace currantshed::failover {

/// What is known of one server of the group.
struct server_view
{
  group::member member;
  /// The server's last word, if it ever answered.
  std::optional<upstream::server_status> status;
  clock::time_point askedAt;
  /// Probes that failed since the last answer.
  unsigned failures = 0;
  /// Since when there has been no answer.
  clock::time_point silentSince;
  /// When the probe under way was sent.
  std::optional<clock::time_point> probing;
  clock::time_point nextProbe;
};

/// The group's servers as the probes of this pooler show them. A server that
/// does not answer says nothing about what it sees.
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

  /// Sends the probes that are due and gives up those that take too long.
  void Tick(clock::time_point aNow, std::vector<action>& aOut);
  [[nodiscard]] clock::time_point NextTick() const noexcept;

  [[nodiscard]] const absl::btree_map<upstream::server_id, server_view>&
  Servers() const noexcept
  {
    return mServers;
  }

  [[nodiscard]] const server_view* Find(
    const upstream::server_id& aServer) const;

  /// Whether the server answered a question that was sent lately; an answer
  /// that comes late says nothing about now.
  [[nodiscard]] bool IsFresh(const server_view& aServer,
                             clock::time_point aNow) const;

  /// Whether probes failed repeatedly over the time after which a silent
  /// primary is suspected. One that was only not asked is not unreachable.
  [[nodiscard]] bool IsUnreachable(const upstream::server_id& aServer,
                                   clock::time_point aNow) const;

  /// Whether probes failed repeatedly over the given time.
  [[nodiscard]] bool IsUnreachableFor(const upstream::server_id& aServer,
                                      clock::duration aTime,
                                      clock::time_point aNow) const;

  /// Whether so many of the others say lately that they hear the primary that
  /// it has a majority with them.
  [[nodiscard]] bool IsReachedByMajority(const primary_ref& aPrimary,
                                         clock::time_point aNow) const;

  /// More than half of the group's servers.
  [[nodiscard]] std::size_t Majority() const noexcept;

  /// Whether a majority answered lately. Without it no failover can end, and
  /// nothing newer than the own view is sure to be seen.
  [[nodiscard]] bool HasMajority(clock::time_point aNow) const;

  /// The highest term that any server told.
  [[nodiscard]] position::term_id HighestTerm() const;

  /// The server that calls itself primary in the highest term, if a majority
  /// of the group has accepted that term.
  [[nodiscard]] primary_ref AcceptedPrimary() const;

  /// Whether the primary itself and a majority in its term answered lately.
  [[nodiscard]] bool IsInForce(const primary_ref& aPrimary,
                               clock::time_point aNow) const;

  /// Whether a majority answered lately that it sees no primary: fenced,
  /// following nobody, or without word from the one followed.
  [[nodiscard]] bool SeesNoPrimaryByMajority(clock::time_point aNow) const;

private:
  std::chrono::milliseconds mProbeInterval;
  std::chrono::milliseconds mProbeTimeout;
  std::chrono::milliseconds mSuspectAfter;
  absl::btree_map<upstream::server_id, server_view> mServers;
};

} // namespace currantshed::failover

#endif
