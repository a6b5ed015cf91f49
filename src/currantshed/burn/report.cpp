#include "currantshed/burn/report.hpp"

#include <algorithm>

namespace currantshed::burn {
namespace {

using precise_seconds = std::chrono::duration<double>;

double
BadOf(const class_counters& aCounts, objective_kind aKind)
{
  switch (aKind) {
    case objective_kind::kDeadline:
      return std::max(0.0, aCounts.requests - aCounts.deadlineMet);
    case objective_kind::kOutcome:
      return aCounts.notDone;
  }
  return 0;
}

/// Fraction of the duration of an increment that lies within a time span.
double
OverlapFraction(const increment& aIncrement,
                clock::wall_time aBegin,
                clock::wall_time aEnd)
{
  const auto begin = std::max(aIncrement.begin, aBegin);
  const auto end = std::min(aIncrement.end, aEnd);
  if (begin >= end) {
    return 0;
  }
  return precise_seconds(end - begin) /
         precise_seconds(aIncrement.end - aIncrement.begin);
}

window_burn
BurnBetween(const std::vector<increment>& aIncrements,
            objective_kind aKind,
            double aObjective,
            clock::wall_time aBegin,
            clock::wall_time aEnd)
{
  window_burn result;
  for (const auto& one : aIncrements) {
    const double share = OverlapFraction(one, aBegin, aEnd);
    result.requests += share * one.counts.requests;
    result.bad += share * BadOf(one.counts, aKind);
    result.isCovered = result.isCovered || one.begin <= aBegin;
  }
  if (result.requests > 0) {
    result.errorRatio = result.bad / result.requests;
    result.burnRate = result.errorRatio / (1 - aObjective);
  }
  return result;
}

const window_burn*
FindWindow(const objective_burn& aBurn, std::chrono::seconds aWindow)
{
  for (const auto& one : aBurn.windows) {
    if (one.window == aWindow) {
      return &one;
    }
  }
  return nullptr;
}

bool
IsAbove(const window_burn* aWindow, double aRate)
{
  return aWindow != nullptr && aWindow->isCovered && aWindow->burnRate > aRate;
}

objective_burn
MakeObjective(const std::vector<increment>& aIncrements,
              objective_kind aKind,
              double aObjective,
              const report& aSpan)
{
  objective_burn result;
  result.kind = aKind;
  for (const auto window : kWindows) {
    result.windows.push_back(
      BurnOver(aIncrements, aKind, aObjective, aSpan.end, window));
    result.windows.back().isCovered = aSpan.begin <= aSpan.end - window;
  }
  result.whole =
    BurnBetween(aIncrements, aKind, aObjective, aSpan.begin, aSpan.end);
  result.whole.isCovered = true;
  result.whole.window =
    std::chrono::duration_cast<std::chrono::seconds>(aSpan.end - aSpan.begin);
  for (const auto& rule : kAlertRules) {
    if (IsAbove(FindWindow(result, rule.longWindow), rule.rate) &&
        IsAbove(FindWindow(result, rule.shortWindow), rule.rate)) {
      result.alerts.emplace_back(rule.name);
    }
  }
  return result;
}

/// Determines begin and end of all increments; returns false if there are none.
bool
FindSpan(const increments_by_class& aIncrements, report& aReport)
{
  bool isFirst = true;
  for (const auto& [name, list] : aIncrements) {
    for (const auto& one : list) {
      aReport.begin = isFirst ? one.begin : std::min(aReport.begin, one.begin);
      aReport.end = isFirst ? one.end : std::max(aReport.end, one.end);
      isFirst = false;
    }
  }
  return !isFirst;
}

class_burn
MakeClass(const policy::work_class& aClass,
          const std::vector<increment>& aIncrements,
          const report& aSpan)
{
  class_burn result;
  result.name = aClass.name;
  result.objective = aClass.objective;
  for (const auto kind : kObjectiveKinds) {
    result.objectives.push_back(
      MakeObjective(aIncrements, kind, aClass.objective, aSpan));
  }
  for (const auto& one : aIncrements) {
    result.replicaReads += one.counts.replicaReads;
    result.reads += one.counts.reads;
  }
  return result;
}

} // namespace

bool
report::IsBurning() const
{
  for (const auto& one : classes) {
    for (const auto& objective : one.objectives) {
      if (!objective.alerts.empty()) {
        return true;
      }
    }
  }
  return false;
}

window_burn
BurnOver(const std::vector<increment>& aIncrements,
         objective_kind aKind,
         double aObjective,
         clock::wall_time aEnd,
         std::chrono::seconds aWindow)
{
  auto result =
    BurnBetween(aIncrements, aKind, aObjective, aEnd - aWindow, aEnd);
  result.window = aWindow;
  return result;
}

std::optional<report>
MakeReport(const policy::declaration& aDeclaration,
           const increments_by_class& aIncrements)
{
  report result;
  if (!FindSpan(aIncrements, result)) {
    return std::nullopt;
  }
  for (const auto& declared : aDeclaration.classes) {
    const auto found = aIncrements.find(declared.name);
    result.classes.push_back(MakeClass(
      declared,
      found == aIncrements.end() ? std::vector<increment>{} : found->second,
      result));
  }
  return result;
}

const char*
ToString(objective_kind aKind)
{
  switch (aKind) {
    case objective_kind::kDeadline:
      return "deadline";
    case objective_kind::kOutcome:
      return "outcome";
  }
  return "outcome";
}

} // namespace currantshed::burn
