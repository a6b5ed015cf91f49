#include "currantshed/burn/snapshot.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "currantshed/burn/exposition.hpp"

namespace currantshed::burn {
namespace {

constexpr std::string_view kRequests = "currantshed_requests_total";
constexpr std::string_view kDeadlineMet = "currantshed_deadline_met_total";
constexpr std::string_view kReads = "currantshed_reads_total";
constexpr const char* kClass = "class";
constexpr const char* kOutcome = "outcome";
constexpr const char* kBy = "by";
constexpr const char* kDone = "done";
constexpr const char* kRefused = "refused";
constexpr const char* kReplica = "replica";

/// All members, for code that treats them alike.
constexpr double class_counters::*kMembers[] = {
  &class_counters::requests,    &class_counters::notDone,
  &class_counters::deadlineMet, &class_counters::replicaReads,
  &class_counters::reads,
};

void
Count(const sample& aSample, counters_by_class& aCounters)
{
  const std::string name = FindLabel(aSample, kClass);
  if (name.empty()) {
    return;
  }
  if (aSample.name == kRequests) {
    const std::string outcome = FindLabel(aSample, kOutcome);
    if (outcome == kRefused) {
      return;
    }
    auto& counters = aCounters[name];
    counters.requests += aSample.value;
    counters.notDone += outcome == kDone ? 0 : aSample.value;
  } else if (aSample.name == kDeadlineMet) {
    aCounters[name].deadlineMet += aSample.value;
  } else if (aSample.name == kReads) {
    auto& counters = aCounters[name];
    counters.reads += aSample.value;
    counters.replicaReads +=
      FindLabel(aSample, kBy) == kReplica ? aSample.value : 0;
  }
}

/// Difference between two snapshots of one gateway.
class_counters
Difference(const class_counters& aBefore, const class_counters& aAfter)
{
  class_counters result;
  const bool wasReset = aAfter.requests < aBefore.requests;
  for (const auto member : kMembers) {
    const double base = wasReset ? 0 : aBefore.*member;
    result.*member = std::max(0.0, aAfter.*member - base);
  }
  return result;
}

void
Add(const class_counters& aMore, class_counters& aSum)
{
  for (const auto member : kMembers) {
    aSum.*member += aMore.*member;
  }
}

/// Increments by class and time span, so that gateways read at the same time
/// share an increment.
using span_key = std::tuple<std::string, clock::wall_time, clock::wall_time>;
using span_sums = std::map<span_key, class_counters>;

void
AddPair(const snapshot& aBefore, const snapshot& aAfter, span_sums& aSums)
{
  for (const auto& [name, counters] : aAfter.classes) {
    const auto found = aBefore.classes.find(name);
    const auto base =
      found == aBefore.classes.end() ? class_counters{} : found->second;
    Add(Difference(base, counters), aSums[{ name, aBefore.time, aAfter.time }]);
  }
}

} // namespace

counters_by_class
ReadCounters(std::string_view aMetrics)
{
  counters_by_class counters;
  for (const auto& one : ParseExposition(aMetrics).samples) {
    Count(one, counters);
  }
  return counters;
}

increments_by_class
MakeIncrements(std::vector<snapshot> aSnapshots)
{
  std::stable_sort(aSnapshots.begin(),
                   aSnapshots.end(),
                   [](const snapshot& aLeft, const snapshot& aRight) {
                     return std::tie(aLeft.target, aLeft.time) <
                            std::tie(aRight.target, aRight.time);
                   });
  span_sums sums;
  for (std::size_t i = 1; i < aSnapshots.size(); ++i) {
    const auto& before = aSnapshots[i - 1];
    const auto& after = aSnapshots[i];
    if (before.target == after.target && before.time < after.time) {
      AddPair(before, after, sums);
    }
  }
  increments_by_class result;
  for (const auto& [key, counts] : sums) {
    const auto& [name, begin, end] = key;
    result[name].push_back({ begin, end, counts });
  }
  for (auto& [name, list] : result) {
    std::sort(list.begin(),
              list.end(),
              [](const increment& aLeft, const increment& aRight) {
                return std::tie(aLeft.end, aLeft.begin) <
                       std::tie(aRight.end, aRight.begin);
              });
  }
  return result;
}

} // namespace currantshed::burn
