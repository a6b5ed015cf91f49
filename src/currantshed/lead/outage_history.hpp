#ifndef CURRANTSHED_LEAD_OUTAGE_HISTORY_HPP
#define CURRANTSHED_LEAD_OUTAGE_HISTORY_HPP

#include <deque>
#include <optional>

#include "currantshed/clock/time.hpp"
#include "currantshed/upstream/fwd.hpp"

namespace currantshed::lead {

/// The recent outages of a group's primary that ended by themselves before it
/// was replaced. A primary that goes down and up by turns answers again just
/// before it counts as lost, and loses the statements in flight at each turn.
/// After repeated outages it is better replaced while it is up. Performs no I/O
/// and does not read the clock.
class outage_history
{
public:
  /// Records that the primary does not answer, though other servers of the
  /// group do, and no VM has heard from it since aHeardAt.
  void RecordDown(const upstream::server_id& aPrimary,
                  clock::time_point aHeardAt);

  /// Records an answer of the primary.
  void RecordUp(const upstream::server_id& aPrimary, clock::time_point aNow);

  /// Records that another VM has heard from the primary at that time. An outage
  /// during which another VM did was one of this VM's paths.
  void RecordHeard(clock::time_point aAt);

  /// Whether the primary has had repeated outages and is up again.
  [[nodiscard]] bool IsUnstable(const upstream::server_id& aPrimary,
                                clock::time_point aNow) const;

private:
  struct outage
  {
    clock::time_point from;
    clock::time_point to;
  };

  void SetPrimary(const upstream::server_id& aPrimary);
  void End(const outage& aOutage);
  [[nodiscard]] static bool IsShort(const outage& aOutage);

  upstream::server_id mPrimary;
  // Since when the primary has not answered, if it is down.
  std::optional<clock::time_point> mDownSince;
  // Recent outages that have ended, oldest first.
  std::deque<outage> mOutages;
};

} // namespace currantshed::lead

#endif
