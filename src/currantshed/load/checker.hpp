#ifndef CURRANTSHED_LOAD_CHECKER_HPP
#define CURRANTSHED_LOAD_CHECKER_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "currantshed/load/fwd.hpp"
#include "currantshed/load/history.hpp"

namespace currantshed::load {

/// Latency percentiles of a set of answers.
struct latency_summary
{
  std::uint64_t count = 0;
  std::chrono::microseconds p50{ 0 };
  std::chrono::microseconds p99{ 0 };
};

/// Results of one class of work, as seen by callers.
struct class_summary
{
  std::uint64_t requests = 0;
  /// Requests done within the deadline of the class.
  std::uint64_t met = 0;
  latency_summary done;
  latency_summary notRun;
};

/// Time during which a group acknowledged no write after its primary was cut
/// off.
struct failover_gap
{
  std::string group;
  /// None if no write was acknowledged after the cut.
  std::optional<std::chrono::microseconds> gap;
};

/// Result of the check of a run. Counts of changes refer to changes as known to
/// callers; `requests` counts all answers awaited, including reads.
struct findings
{
  std::uint64_t requests = 0;
  std::uint64_t acknowledged = 0;
  std::uint64_t notRun = 0;
  std::uint64_t unknown = 0;
  std::uint64_t refused = 0;
  /// Acknowledged, but missing in the contents of the group.
  std::uint64_t lost = 0;
  /// Present more than once.
  std::uint64_t duplicated = 0;
  /// Reported as not run or refused, or never committed, but present.
  std::uint64_t falseNotRun = 0;
  std::uint64_t readYourWritesViolations = 0;
  std::uint64_t stalenessViolations = 0;
  std::uint64_t fracturedReads = 0;
  /// Requests that were sent, but whose connection ended before the answer
  /// arrived.
  std::uint64_t cutOff = 0;
  /// Changes of groups whose contents could not be read.
  std::uint64_t unchecked = 0;
  std::uint64_t activities = 0;
  std::uint64_t missedStarts = 0;
  std::uint64_t reads = 0;
  std::uint64_t replicaReads = 0;
  std::vector<failover_gap> gaps;
  std::map<std::string, class_summary> classes;
  /// Descriptions of the first violations, one line each.
  std::vector<std::string> violations;
};

/// Checks what callers observed against the final contents of the groups.
[[nodiscard]] findings
Check(const history& aHistory, const std::vector<group_contents>& aContents);

/// Whether the run had no violation: no change lost, duplicated or falsely
/// reported, no stale or fractured read, and the contents of every group
/// checked.
[[nodiscard]] bool
HasNoViolations(const findings& aFindings);

} // namespace currantshed::load

#endif
