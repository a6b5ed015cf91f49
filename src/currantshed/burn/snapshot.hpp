#ifndef CURRANTSHED_BURN_SNAPSHOT_HPP
#define CURRANTSHED_BURN_SNAPSHOT_HPP

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "currantshed/burn/fwd.hpp"
#include "currantshed/clock/time.hpp"

namespace currantshed::burn {

/// Counters of a gateway for one class since its start. Refused requests are
/// not counted, as they are errors of the caller.
struct class_counters
{
  /// Requests answered with done, not run or unknown.
  double requests = 0;
  /// Requests among these that were not done.
  double notDone = 0;
  /// Requests among these that were done within the deadline of the class.
  double deadlineMet = 0;
  /// Reads done by replicas, and all reads done.
  double replicaReads = 0;
  double reads = 0;

  [[nodiscard]] friend bool operator==(const class_counters&,
                                       const class_counters&) = default;
};

/// Counters by class.
using counters_by_class = std::map<std::string, class_counters>;

/// Counters of one gateway at one time.
struct snapshot
{
  std::string target;
  clock::wall_time time;
  counters_by_class classes;
};

/// Extracts the counters from the metrics of a gateway.
[[nodiscard]] counters_by_class
ReadCounters(std::string_view aMetrics);

/// Increase of the counters of one class in a time span, over all gateways.
struct increment
{
  clock::wall_time begin;
  clock::wall_time end;
  class_counters counts;
};

/// Increments of each class, ordered by end time.
using increments_by_class = std::map<std::string, std::vector<increment>>;

/// Computes the increments between consecutive snapshots of each gateway. A
/// counter that decreased was reset to zero by a restart; the first snapshot of
/// a gateway is only a baseline.
[[nodiscard]] increments_by_class
MakeIncrements(std::vector<snapshot> aSnapshots);

} // namespace currantshed::burn

#endif
