#ifndef CURRANTSHED_LEAD_SERVER_TABLE_HPP
#define CURRANTSHED_LEAD_SERVER_TABLE_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/lead/fwd.hpp"
#include "currantshed/proxy/engine.hpp"
#include "currantshed/proxy/statement.hpp"
#include "currantshed/upstream/fwd.hpp"

namespace currantshed::lead {

/// A server of a group as the platform lists it.
struct member
{
  upstream::server_id id;
  /// In this VM's failure domain.
  bool isInSameDomain = false;
  /// About to leave the group.
  bool draining = false;
  /// Identifies the server's incarnation.
  proxy::start_time startedAt{};
};

/// The last report of a member and whether it responds.
struct member_view
{
  member listed;
  std::optional<proxy::server_report> report;
  /// When the query for the report was sent.
  clock::time_point askedAt;
  /// When the query that is in flight was sent.
  std::optional<clock::time_point> pendingSince;
  /// When the last query was sent, answered or not.
  clock::time_point lastQueriedAt;
  /// When this VM learned that the server had restarted. Answers to earlier
  /// queries do not apply to the new incarnation.
  clock::time_point restartSeenAt{};
  /// When it last answered anything, client statements included.
  clock::time_point heardAt;
  /// Until when it is queried through other VMs, because only they can reach
  /// it.
  clock::time_point relayedUntil;
  /// Consecutive queries without an answer.
  unsigned failures = 0;
};

/// The members of one group, and what follows from their reports.
class server_table
{
public:
  using views = absl::btree_map<upstream::server_id, member_view>;

  void Configure(const std::vector<member>& aMembers, clock::time_point aNow);

  void Reported(const upstream::server_id& aServer,
                const proxy::server_report& aReport,
                clock::time_point aAskedAt,
                clock::time_point aNow);
  /// Records an answer without a report.
  void Contacted(const upstream::server_id& aServer, clock::time_point aAt);
  void Failed(const upstream::server_id& aServer);

  [[nodiscard]] const views& All() const noexcept { return mViews; }
  [[nodiscard]] member_view* Find(const upstream::server_id& aServer);
  [[nodiscard]] const member_view* Find(
    const upstream::server_id& aServer) const;

  /// The smallest number of members that is more than half.
  [[nodiscard]] std::size_t Majority() const noexcept;

  /// Number of members whose last query failed.
  [[nodiscard]] std::size_t UnresponsiveCount() const;

  /// The highest term that any member reported, of its log or of its fence.
  [[nodiscard]] position::term_id HighestTerm() const;

  /// The highest term of any member's log. A fence may have a higher term than
  /// any that has started.
  [[nodiscard]] position::term_id HighestLogTerm() const;

  /// The primary of the highest term, if a majority that includes it would
  /// follow it. askedAt is the time of the oldest query of the most recent such
  /// majority.
  [[nodiscard]] std::optional<proxy::confirmation> Confirmation() const;

private:
  views mViews;
};

} // namespace currantshed::lead

#endif
