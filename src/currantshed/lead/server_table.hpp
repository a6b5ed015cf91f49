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

/// One server of a group as the platform lists it.
struct member
{
  upstream::server_id id;
  /// In this VM's failure domain.
  bool isInSameDomain = false;
  /// Leaves soon.
  bool draining = false;
  /// Which of its lives it is.
  proxy::start_time startedAt{};
};

/// What a member said last, and how it answers.
struct member_view
{
  member listed;
  std::optional<proxy::server_report> report;
  /// When the report was asked for.
  clock::time_point askedAt;
  /// When the question under way was sent.
  std::optional<clock::time_point> pendingSince;
  /// When it was last asked, answered or not.
  clock::time_point lastQueriedAt;
  /// When this VM came to know that it has started again: what was asked for
  /// before says nothing of it.
  clock::time_point restartSeenAt{};
  /// When it last answered anything, also a caller's statement.
  clock::time_point heardAt;
  /// Until when it is asked through other VMs, since only they reach it.
  clock::time_point relayedUntil;
  /// Questions without an answer since then.
  unsigned failures = 0;
};

/// The members of one group and what follows from their reports.
class server_table
{
public:
  using views = absl::btree_map<upstream::server_id, member_view>;

  void Configure(const std::vector<member>& aMembers, clock::time_point aNow);

  void Reported(const upstream::server_id& aServer,
                const proxy::server_report& aReport,
                clock::time_point aAskedAt,
                clock::time_point aNow);
  /// Answered, but without a report.
  void Contacted(const upstream::server_id& aServer, clock::time_point aAt);
  void Failed(const upstream::server_id& aServer);

  [[nodiscard]] const views& All() const noexcept { return mViews; }
  [[nodiscard]] member_view* Find(const upstream::server_id& aServer);
  [[nodiscard]] const member_view* Find(
    const upstream::server_id& aServer) const;

  /// More than half of the members.
  [[nodiscard]] std::size_t Majority() const noexcept;

  /// Members whose last question had no answer.
  [[nodiscard]] std::size_t UnresponsiveCount() const;

  /// The highest term that any member told, of its log or its fence.
  [[nodiscard]] position::term_id HighestTerm() const;

  /// The highest term of any member's log: fences may stand above every term
  /// that has begun.
  [[nodiscard]] position::term_id HighestLogTerm() const;

  /// The primary of the highest term that a majority, itself included, would
  /// follow, and when the oldest of the newest such majority was asked.
  [[nodiscard]] std::optional<proxy::confirmation> Confirmation() const;

private:
  views mViews;
};

} // namespace currantshed::lead

#endif
