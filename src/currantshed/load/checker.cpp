#include "currantshed/load/checker.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace currantshed::load {

namespace {

constexpr std::size_t kMaxViolationLines = 50;
constexpr unsigned kPercent = 100;
constexpr unsigned kMedianPercent = 50;
constexpr unsigned kTailPercent = 99;

using latency_list = std::vector<std::chrono::microseconds>;

void
AddViolation(findings& aFindings, std::uint64_t& aCount, std::string aLine)
{
  ++aCount;
  if (aFindings.violations.size() < kMaxViolationLines) {
    aFindings.violations.push_back(std::move(aLine));
  }
}

std::map<std::string, const group_contents*>
ByGroup(const std::vector<group_contents>& aContents)
{
  std::map<std::string, const group_contents*> byGroup;
  for (const group_contents& held : aContents) {
    byGroup.emplace(held.group, &held);
  }
  return byGroup;
}

void
CountOutcome(findings& aFindings, change_outcome aOutcome)
{
  switch (aOutcome) {
    case change_outcome::kDone:
      ++aFindings.acknowledged;
      break;
    case change_outcome::kNotRun:
      ++aFindings.notRun;
      break;
    case change_outcome::kRefused:
      ++aFindings.refused;
      break;
    case change_outcome::kUnknown:
      ++aFindings.unknown;
      break;
    case change_outcome::kAbandoned:
      break;
  }
}

bool
MustBeAbsent(change_outcome aOutcome)
{
  return aOutcome == change_outcome::kNotRun ||
         aOutcome == change_outcome::kRefused ||
         aOutcome == change_outcome::kAbandoned;
}

void
CheckContents(findings& aFindings,
              const change_record& aChange,
              unsigned aTimes)
{
  const std::string name = aChange.group + "/" + aChange.change;
  if (aTimes == 0 && aChange.outcome == change_outcome::kDone) {
    AddViolation(aFindings, aFindings.lost, "lost " + name);
  }
  if (aTimes > 1) {
    AddViolation(aFindings, aFindings.duplicated, "doubled " + name);
  }
  if (aTimes > 0 && MustBeAbsent(aChange.outcome)) {
    AddViolation(aFindings, aFindings.falseNotRun, "false not run " + name);
  }
}

void
CheckChanges(findings& aFindings,
             const history& aHistory,
             const std::vector<group_contents>& aContents)
{
  const auto contents = ByGroup(aContents);
  for (const change_record& change : aHistory.changes) {
    CountOutcome(aFindings, change.outcome);
    const auto held = contents.find(change.group);
    if (held == contents.end()) {
      ++aFindings.unchecked;
      continue;
    }
    const auto times = held->second->changes.find(change.change);
    const bool there = times != held->second->changes.end();
    CheckContents(aFindings, change, there ? times->second : 0);
  }
}

void
CheckOwnReads(findings& aFindings, const history& aHistory)
{
  for (const own_change_read& read : aHistory.ownReads) {
    if (!read.found) {
      AddViolation(aFindings,
                   aFindings.readYourWritesViolations,
                   "own write not read " + read.group + "/" + read.change);
    }
  }
}

/// The acknowledged values of each group's counter row in order of
/// acknowledgement, each replaced by the maximum so far.
std::map<std::string, std::vector<clock_write>>
AcknowledgedClockValues(const history& aHistory)
{
  std::map<std::string, std::vector<clock_write>> log;
  for (const clock_write& write : aHistory.clockWrites) {
    log[write.group].push_back(write);
  }
  for (auto& [group, writes] : log) {
    std::sort(
      writes.begin(), writes.end(), [](const auto& aOne, const auto& aOther) {
        return aOne.acknowledged < aOther.acknowledged;
      });
    std::uint64_t highest = 0;
    for (clock_write& write : writes) {
      highest = std::max(highest, write.value);
      write.value = highest;
    }
  }
  return log;
}

/// The lowest value that a read may return: the highest value acknowledged
/// before the earliest time that its staleness bound allows.
std::uint64_t
LowestAllowed(const std::vector<clock_write>& aLog, run_offset aOldest)
{
  const auto after = std::partition_point(
    aLog.begin(), aLog.end(), [aOldest](const clock_write& aWrite) {
      return aWrite.acknowledged < aOldest;
    });
  return after == aLog.begin() ? 0 : std::prev(after)->value;
}

void
CheckStaleness(findings& aFindings, const history& aHistory)
{
  const auto log = AcknowledgedClockValues(aHistory);
  for (const clock_read& read : aHistory.clockReads) {
    const auto writes = log.find(read.group);
    if (writes == log.end()) {
      continue;
    }
    const auto lowest = LowestAllowed(writes->second, read.sent - read.bound);
    if (read.value < lowest) {
      AddViolation(aFindings,
                   aFindings.stalenessViolations,
                   "stale read of " + read.group + ": " +
                     std::to_string(read.value) + " below " +
                     std::to_string(lowest));
    }
  }
}

void
CheckTags(findings& aFindings, const std::vector<tag_read>& aIsRead)
{
  for (const tag_read& read : aIsRead) {
    if (read.first != read.second) {
      AddViolation(aFindings,
                   aFindings.fracturedReads,
                   "mixed in " + read.group + ": " + read.first + " and " +
                     read.second);
    }
  }
}

std::optional<run_offset>
FirstAcknowledgedAfter(const history& aHistory, const cut_record& aCut)
{
  std::optional<run_offset> first;
  for (const change_record& change : aHistory.changes) {
    const bool counts = change.group == aCut.group &&
                        change.outcome == change_outcome::kDone &&
                        change.sent >= aCut.at;
    if (counts && (!first || change.answered < *first)) {
      first = change.answered;
    }
  }
  return first;
}

void
MeasureGaps(findings& aFindings, const history& aHistory)
{
  for (const cut_record& cut : aHistory.cuts) {
    const auto first = FirstAcknowledgedAfter(aHistory, cut);
    failover_gap gap{ cut.group, std::nullopt };
    if (first) {
      gap.gap = *first - cut.at;
    }
    aFindings.gaps.push_back(std::move(gap));
  }
}

/// The given percentile of a sorted list.
std::chrono::microseconds
Percentile(const latency_list& aSorted, unsigned aPercent)
{
  const std::size_t rank =
    (aSorted.size() * aPercent + kPercent - 1) / kPercent;
  return aSorted[std::max<std::size_t>(rank, 1) - 1];
}

latency_summary
Summary(latency_list aList)
{
  if (aList.empty()) {
    return {};
  }
  std::sort(aList.begin(), aList.end());
  return { aList.size(),
           Percentile(aList, kMedianPercent),
           Percentile(aList, kTailPercent) };
}

/// Latencies of one class by outcome.
struct class_latencies
{
  latency_list done;
  latency_list notRun;
};

void
MeasureAnswer(findings& aFindings, const answer_record& aAnswer)
{
  const bool done = aAnswer.outcome == change_outcome::kDone;
  class_summary& summary = aFindings.classes[aAnswer.work];
  ++aFindings.requests;
  ++summary.requests;
  summary.met += done && aAnswer.latency <= aAnswer.deadline ? 1 : 0;
  aFindings.cutOff += aAnswer.end == exchange_result::kCutOff ? 1 : 0;
  aFindings.reads += done && aAnswer.read ? 1 : 0;
  aFindings.replicaReads += done && aAnswer.read && aAnswer.byReplica ? 1 : 0;
}

void
MeasureAnswers(findings& aFindings, const history& aHistory)
{
  std::map<std::string, class_latencies> latencies;
  for (const answer_record& answer : aHistory.answers) {
    MeasureAnswer(aFindings, answer);
    if (answer.outcome == change_outcome::kDone) {
      latencies[answer.work].done.push_back(answer.latency);
    }
    if (answer.outcome == change_outcome::kNotRun) {
      latencies[answer.work].notRun.push_back(answer.latency);
    }
  }
  for (auto& [work, lists] : latencies) {
    aFindings.classes[work].done = Summary(std::move(lists.done));
    aFindings.classes[work].notRun = Summary(std::move(lists.notRun));
  }
}

} // namespace

findings
Check(const history& aHistory, const std::vector<group_contents>& aContents)
{
  findings result;
  result.activities = aHistory.activities;
  result.missedStarts = aHistory.missedStarts;
  CheckChanges(result, aHistory, aContents);
  CheckOwnReads(result, aHistory);
  CheckStaleness(result, aHistory);
  CheckTags(result, aHistory.tagReads);
  for (const group_contents& held : aContents) {
    CheckTags(result, held.tags);
  }
  MeasureGaps(result, aHistory);
  MeasureAnswers(result, aHistory);
  return result;
}

bool
HasNoViolations(const findings& aFindings)
{
  const std::uint64_t violations =
    aFindings.lost + aFindings.duplicated + aFindings.falseNotRun +
    aFindings.readYourWritesViolations + aFindings.stalenessViolations +
    aFindings.fracturedReads;
  const bool recovered =
    std::all_of(aFindings.gaps.begin(),
                aFindings.gaps.end(),
                [](const failover_gap& aGap) { return aGap.gap.has_value(); });
  return violations == 0 && aFindings.unchecked == 0 && recovered;
}

} // namespace currantshed::load
