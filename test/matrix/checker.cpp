#include "test/matrix/checker.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <unordered_map>
#include <utility>

namespace currantshed::matrix {

namespace {

constexpr std::array<std::string_view, kInvariants> kNames{
  "nothing lost",
  "nothing doubled",
  "read your writes",
  "bounded staleness",
  "no acknowledgement by a replaced primary",
  "nothing mixed",
  "whole answers",
  "true not run",
  "leaving upstream left alone",
  "nothing cut off at a stop",
  "configuration kept",
  "what is shown is kept",
  "recovers",
};

using violations = std::vector<violation>;

void
Note(violations& aOut, invariant aInvariant, std::string aText)
{
  aOut.push_back({ aInvariant, std::move(aText) });
}

std::string
Print(const change_record& aChange)
{
  return "change " + std::to_string(aChange.number) + " (" +
         (aChange.values.empty() ? "" : aChange.values.front()) + ", sent " +
         std::to_string(aChange.sent.count()) + ", answered " +
         std::to_string(aChange.answered.count()) + " by " + aChange.servedBy +
         (aChange.repeated ? ", repeated" : "") + ", " + aChange.why + ")";
}

/// How often each value occurs in the log, and in which record.
struct log_index
{
  explicit log_index(const history& aHistory)
  {
    for (std::size_t at = 0; at < aHistory.log.size(); ++at) {
      for (const auto& value : aHistory.log[at].values) {
        ++counts[value];
        places[value] = at;
      }
    }
  }

  [[nodiscard]] unsigned Count(const std::string& aValue) const
  {
    const auto found = counts.find(aValue);
    return found == counts.end() ? 0 : found->second;
  }

  std::map<std::string, unsigned> counts;
  std::map<std::string, std::size_t> places;
};

void
CheckChanges(violations& aOut, const history& aHistory, const log_index& aLog)
{
  for (const auto& change : aHistory.changes) {
    for (const auto& value : change.values) {
      const auto count = aLog.Count(value);
      if (change.outcome == told_outcome::kDone && count == 0) {
        Note(aOut,
             invariant::kNothingLost,
             Print(change) + " is missing from the log");
      }
      if (count > 1) {
        Note(aOut,
             invariant::kNothingDoubled,
             Print(change) + " is in the log more than once");
      }
      const bool denied = change.outcome == told_outcome::kNotRun ||
                          change.outcome == told_outcome::kRefused;
      if (denied && count > 0) {
        Note(aOut,
             invariant::kTrueNotRun,
             Print(change) + " is in the log although it was denied");
      }
    }
  }
}

/// Checks that each log record holds exactly one whole change.
void
CheckRecords(violations& aOut, const history& aHistory)
{
  std::map<std::string, const change_record*> owners;
  for (const auto& change : aHistory.changes) {
    for (const auto& value : change.values) {
      owners[value] = &change;
    }
  }
  for (const auto& record : aHistory.log) {
    if (record.values.empty()) {
      continue;
    }
    const auto* owner = owners[record.values.front()];
    if (owner == nullptr || owner->values != record.values) {
      Note(aOut,
           invariant::kNothingMixed,
           "a transaction of the log begins with " + record.values.front() +
             " and has " + std::to_string(record.values.size()) + " rows");
    }
  }
}

/// The primary at a given time: the server promoted in the highest term up to
/// then.
const promotion*
PrimaryAt(const history& aHistory, instant aTime)
{
  const promotion* latest = nullptr;
  for (const auto& made : aHistory.promotions) {
    if (made.at < aTime && (latest == nullptr || made.term > latest->term)) {
      latest = &made;
    }
  }
  return latest;
}

void
CheckPrimaries(violations& aOut, const history& aHistory, const log_index& aLog)
{
  for (const auto& change : aHistory.changes) {
    const auto* primary = PrimaryAt(aHistory, change.answered);
    if (change.outcome != told_outcome::kDone || primary == nullptr) {
      continue;
    }
    if (change.servedBy != primary->server) {
      Note(aOut,
           invariant::kNoReplacedPrimary,
           Print(change) + " while " + primary->server + " led term " +
             std::to_string(primary->term));
      continue;
    }
    const auto place = aLog.places.find(change.values.front());
    const bool older = place != aLog.places.end() && !change.repeated &&
                       aHistory.log[place->second].term < primary->term;
    if (older) {
      Note(aOut,
           invariant::kNoReplacedPrimary,
           Print(change) + " for an older term than " +
             std::to_string(primary->term));
    }
  }
}

/// Values of all changes, numbered, and the values that each change adds.
struct value_index
{
  explicit value_index(const history& aHistory)
  {
    for (const auto& change : aHistory.changes) {
      std::vector<std::size_t> added;
      for (const auto& value : change.values) {
        added.push_back(numbers.emplace(value, numbers.size()).first->second);
      }
      adds.push_back(std::move(added));
    }
  }

  std::unordered_map<std::string, std::size_t> numbers;
  std::vector<std::vector<std::size_t>> adds;
};

/// Which values a read returned, by value number.
using shown_values = std::vector<bool>;

std::string
Print(const read_record& aRead)
{
  return "read " + std::to_string(aRead.number) + " of session " +
         std::to_string(aRead.session) + " sent " +
         std::to_string(aRead.sent.count()) + " answered " +
         std::to_string(aRead.answered.count()) +
         (aRead.byReplica ? " by a replica" : " by the primary");
}

shown_values
CheckValues(violations& aOut,
            const read_record& aRead,
            const value_index& aIndex,
            const log_index& aLog)
{
  shown_values shown(aIndex.numbers.size(), false);
  for (const auto& value : aRead.values) {
    const auto number = aIndex.numbers.find(value);
    if (number == aIndex.numbers.end()) {
      Note(aOut, invariant::kNothingMixed, Print(aRead) + " shows " + value);
      continue;
    }
    if (shown[number->second]) {
      Note(
        aOut, invariant::kNothingDoubled, Print(aRead) + " repeats " + value);
    }
    shown[number->second] = true;
    if (aLog.Count(value) == 0) {
      Note(aOut, invariant::kShownIsKept, Print(aRead) + " shows " + value);
    }
  }
  return shown;
}

void
CheckRead(violations& aOut,
          const read_record& aRead,
          const shown_values& aShown,
          const value_index& aIndex,
          const history& aHistory)
{
  for (std::size_t at = 0; at < aHistory.changes.size(); ++at) {
    const auto& change = aHistory.changes[at];
    const auto& adds = aIndex.adds[at];
    const auto count =
      std::count_if(adds.begin(), adds.end(), [&](std::size_t aNumber) {
        return aShown[aNumber];
      });
    if (count != 0 && static_cast<std::size_t>(count) != adds.size()) {
      Note(aOut,
           invariant::kWholeAnswers,
           Print(aRead) + " has a part of " + Print(change));
    }
    if (change.outcome != told_outcome::kDone || count != 0) {
      continue;
    }
    if (aRead.withToken && change.session == aRead.session &&
        change.answered <= aRead.sent) {
      Note(aOut,
           invariant::kReadYourWrites,
           Print(aRead) + " lacks the session's " + Print(change));
    }
    if (change.answered <= aRead.sent - aRead.bound) {
      Note(aOut,
           invariant::kBoundedStaleness,
           Print(aRead) + " lacks " + Print(change));
    }
  }
}

void
CheckReads(violations& aOut, const history& aHistory, const log_index& aLog)
{
  const value_index index(aHistory);
  std::map<unsigned, shown_values> seen;
  for (const auto& read : aHistory.reads) {
    if (read.outcome != told_outcome::kDone) {
      continue;
    }
    if (!read.whole) {
      Note(aOut,
           invariant::kWholeAnswers,
           "read " + std::to_string(read.number) + " got another answer");
      continue;
    }
    const auto shown = CheckValues(aOut, read, index, aLog);
    CheckRead(aOut, read, shown, index, aHistory);
    if (!read.withToken) {
      continue;
    }
    auto& before = seen[read.session];
    before.resize(shown.size(), false);
    for (std::size_t at = 0; at < shown.size(); ++at) {
      if (before[at] && !shown[at]) {
        Note(aOut,
             invariant::kReadYourWrites,
             Print(read) + " lacks what its session saw before");
        break;
      }
      before[at] = before[at] || shown[at];
    }
  }
}

void
CheckLeaving(violations& aOut, const history& aHistory)
{
  for (const auto& left : aHistory.leaving) {
    const auto late = std::count_if(
      aHistory.work.begin(), aHistory.work.end(), [&](const auto& aWork) {
        return aWork.server == left.server && aWork.at > left.freeFrom;
      });
    if (late > 0) {
      Note(aOut,
           invariant::kLeavingLeftAlone,
           left.server + " got new work " + std::to_string(late) + " times");
    }
  }
}

void
CheckStops(violations& aOut, const history& aHistory)
{
  for (const auto& stop : aHistory.stops) {
    if (stop.cutOff > 0) {
      Note(aOut,
           invariant::kNothingCutAtStop,
           stop.process + " cut off " + std::to_string(stop.cutOff));
    }
  }
}

void
CheckApplied(violations& aOut, const history& aHistory)
{
  for (const auto& applied : aHistory.applied) {
    const auto& stored = aHistory.stored;
    const auto holds = [&](const version_record& aStored) {
      return aStored.declaration == applied.declaration;
    };
    const bool made = std::any_of(stored.begin(), stored.end(), holds);
    if (applied.outcome == told_outcome::kDone && !made) {
      Note(aOut,
           invariant::kConfigurationKept,
           applied.declaration + " was accepted and is not stored");
    }
    if (applied.outcome == told_outcome::kNotRun && made) {
      Note(aOut,
           invariant::kTrueNotRun,
           applied.declaration + " was denied and is stored");
    }
  }
}

void
CheckVersions(violations& aOut, const history& aHistory)
{
  std::map<std::string, std::uint64_t> inForce;
  for (const auto& taken : aHistory.versions) {
    auto& before = inForce[taken.process];
    if (taken.version < before) {
      Note(aOut,
           invariant::kConfigurationKept,
           taken.process + " went back from version " + std::to_string(before) +
             " to " + std::to_string(taken.version));
    }
    before = taken.version;
  }
  std::uint64_t last = 0;
  for (const auto& stored : aHistory.stored) {
    last = std::max(last, stored.version);
  }
  for (const auto& process : aHistory.lastProcesses) {
    if (inForce[process] != last) {
      Note(aOut,
           invariant::kConfigurationKept,
           process + " ends at version " + std::to_string(inForce[process]) +
             " of " + std::to_string(last));
    }
  }
}

void
CheckRecovery(violations& aOut, const history& aHistory)
{
  if (!aHistory.settled) {
    Note(aOut, invariant::kRecovers, "no single primary at the end");
  }
  std::size_t late = 0;
  std::size_t done = 0;
  for (const auto& change : aHistory.changes) {
    if (change.sent >= aHistory.healed) {
      ++late;
      done += change.outcome == told_outcome::kDone ? 1 : 0;
    }
  }
  // A server that diverged is still being reintegrated at that time, which
  // takes one more change of the primary, so only half of the changes are
  // required to succeed.
  if (done * 2 < late) {
    Note(aOut,
         invariant::kRecovers,
         std::to_string(done) + " of " + std::to_string(late) +
           " late changes were done");
  }
}

} // namespace

std::string_view
Name(invariant aInvariant)
{
  return kNames.at(static_cast<std::size_t>(aInvariant));
}

std::vector<violation>
Check(const history& aHistory)
{
  violations out;
  const log_index log(aHistory);
  CheckChanges(out, aHistory, log);
  CheckRecords(out, aHistory);
  CheckPrimaries(out, aHistory, log);
  CheckReads(out, aHistory, log);
  CheckLeaving(out, aHistory);
  CheckStops(out, aHistory);
  CheckApplied(out, aHistory);
  CheckVersions(out, aHistory);
  CheckRecovery(out, aHistory);
  return out;
}

} // namespace currantshed::matrix
