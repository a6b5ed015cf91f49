#ifndef CURRANTSHED_BURN_SNAPSHOT_HPP
#define CURRANTSHED_BURN_SNAPSHOT_HPP

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "currantshed/burn/fwd.hpp"
#include "currantshed/clock/time.hpp"

namespace currantshed::burn {

/// What a gateway has counted for one class since its start. Refused requests
/// are left out: they are the caller's own fault.
struct class_counters
{
  /// Requests answered with done, not run or unknown.
  double requests = 0;
  /// Of these, the ones not answered with done.
  double notDone = 0;
  /// Of these, the ones done within the class's deadline.
  double deadlineMet = 0;
  /// Reads done by replicas, and all reads done.
  double replicaReads = 0;
  double reads = 0;

  [[nodiscard]] friend bool operator==(const class_counters&,
                                       const class_counters&) = default;
};

/// Counters by class.
using counters_by_class = std::map<std::string, class_counters>;

/// The counters of one gateway at one moment.
struct snapshot
{
  std::string target;
  clock::wall_time time;
  counters_by_class classes;
};

/// Reads the counters out of a gateway's metrics.
[[nodiscard]] counters_by_class
ReadCounters(std::string_view aMetrics);

/// What one class was asked within one span of time, over all gateways.
struct increment
{
  clock::wall_time begin;
  clock::wall_time end;
  class_counters counts;
};

/// Increments of each class, by their ends.
using increments_by_class = std::map<std::string, std::vector<increment>>;

/// The increments between each gateway's snapshots. A counter that went down
/// was begun anew at zero; a gateway's first snapshot only gives the base.
[[nodiscard]] increments_by_class
MakeIncrements(std::vector<snapshot> aSnapshots);

} // namespace currantshed::burn

#endif
