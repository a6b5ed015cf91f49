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

/// Latencies of some answers.
struct latency_summary
{
  std::uint64_t count = 0;
  std::chrono::microseconds p50{ 0 };
  std::chrono::microseconds p99{ 0 };
};

/// What callers saw of one class of work.
struct class_summary
{
  std::uint64_t requests = 0;
  /// Done, and within the class's deadline.
  std::uint64_t met = 0;
  latency_summary done;
  latency_summary notRun;
};

/// How long one group was without an acknowledged write after a cut.
struct failover_gap
{
  std::string group;
  /// None when no write was acknowledged after the cut.
  std::optional<std::chrono::microseconds> gap;
};

/// Everything that a run is judged by. Counts of changes are of changes as
/// callers know them; requests counts answers waited for, reads included.
struct findings
{
  std::uint64_t requests = 0;
  std::uint64_t acknowledged = 0;
  std::uint64_t notRun = 0;
  std::uint64_t unknown = 0;
  std::uint64_t refused = 0;
  /// Acknowledged, and absent from what the group holds.
  std::uint64_t lost = 0;
  /// Held more than once.
  std::uint64_t duplicated = 0;
  /// Told as not run, refused or never committed, and held all the same.
  std::uint64_t falseNotRun = 0;
  std::uint64_t readYourWritesViolations = 0;
  std::uint64_t stalenessViolations = 0;
  std::uint64_t fracturedReads = 0;
  /// Requests sent whose connection ended before their answer came.
  std::uint64_t cutOff = 0;
  /// Changes of groups whose holding could not be read.
  std::uint64_t unchecked = 0;
  std::uint64_t activities = 0;
  std::uint64_t missedStarts = 0;
  std::uint64_t reads = 0;
  std::uint64_t replicaReads = 0;
  std::vector<failover_gap> gaps;
  std::map<std::string, class_summary> classes;
  /// One line for each breach, of the first ones.
  std::vector<std::string> violations;
};

/// Compares what callers saw with what the groups hold at the end.
[[nodiscard]] findings
Check(const history& aHistory, const std::vector<group_contents>& aContents);

/// Whether a run kept every promise: nothing lost, doubled, stale, mixed or
/// falsely told, and all of it checked.
[[nodiscard]] bool
HasNoViolations(const findings& aFindings);

} // namespace currantshed::load

#endif
