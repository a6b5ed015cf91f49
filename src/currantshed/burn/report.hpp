#ifndef CURRANTSHED_BURN_REPORT_HPP
#define CURRANTSHED_BURN_REPORT_HPP

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "currantshed/burn/fwd.hpp"
#include "currantshed/burn/snapshot.hpp"
#include "currantshed/policy/declaration.hpp"

namespace currantshed::burn {

/// Criterion by which requests count towards the objective of a class.
enum class objective_kind
{
  /// Requests done within the deadline of the class.
  kDeadline,
  /// Requests done, regardless of the deadline.
  kOutcome,
};

/// All kinds in the order of reports.
inline constexpr objective_kind kObjectiveKinds[] = {
  objective_kind::kDeadline,
  objective_kind::kOutcome,
};

/// Windows of the alert rules, in ascending order.
inline constexpr std::chrono::seconds kWindows[] = {
  std::chrono::minutes(5),
  std::chrono::minutes(30),
  std::chrono::hours(1),
  std::chrono::hours(6),
};

/// A rule fires when the error budget burns faster than its rate over both
/// windows: the long window shows that the burn is significant, the short one
/// that it is still going on. See "Alerting on SLOs" in The Site Reliability
/// Workbook.
struct alert_rule
{
  const char* name;
  double rate;
  std::chrono::seconds longWindow;
  std::chrono::seconds shortWindow;
};

inline constexpr alert_rule kAlertRules[] = {
  { "fast", 14.4, std::chrono::hours(1), std::chrono::minutes(5) },
  { "slow", 6, std::chrono::hours(6), std::chrono::minutes(30) },
};

/// Burn of the error budget over one window.
struct window_burn
{
  std::chrono::seconds window{ 0 };
  /// Whether the data cover the whole window.
  bool isCovered = false;
  double requests = 0;
  double bad = 0;
  /// Fraction of bad requests; zero if there were no requests.
  double errorRatio = 0;
  /// A rate of 1 spends the error budget exactly over its period, 10 ten times
  /// as fast.
  double burnRate = 0;
};

/// Burn of one objective of a class.
struct objective_burn
{
  objective_kind kind = objective_kind::kDeadline;
  std::vector<window_burn> windows;
  /// Burn over all data.
  window_burn whole;
  /// Names of the rules that fire.
  std::vector<std::string> alerts;
};

struct class_burn
{
  std::string name;
  double objective = 0;
  std::vector<objective_burn> objectives;
  /// Reads done by replicas and all reads done, over all data.
  double replicaReads = 0;
  double reads = 0;
};

/// Service-level burn of all declared classes.
struct report
{
  clock::wall_time begin;
  clock::wall_time end;
  std::vector<class_burn> classes;

  [[nodiscard]] bool IsBurning() const;
};

/// Computes the report at the end of the data; none if no gateway has two
/// snapshots. A class without requests has a burn rate of zero.
[[nodiscard]] std::optional<report>
MakeReport(const policy::declaration& aDeclaration,
           const increments_by_class& aIncrements);

/// Computes the burn over the window that ends at the given time. An increment
/// that partly overlaps the window is weighted by the overlapping fraction of
/// its time.
[[nodiscard]] window_burn
BurnOver(const std::vector<increment>& aIncrements,
         objective_kind aKind,
         double aObjective,
         clock::wall_time aEnd,
         std::chrono::seconds aWindow);

/// Name of the objective in reports.
[[nodiscard]] const char*
ToString(objective_kind aKind);

} // namespace currantshed::burn

#endif
