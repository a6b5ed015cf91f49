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

/// What a class's objective is held against.
enum class objective_kind
{
  /// Requests that were done within the class's deadline.
  kDeadline,
  /// Requests that were done, whenever.
  kOutcome,
};

/// Both, in the order of reports.
inline constexpr objective_kind kObjectiveKinds[] = {
  objective_kind::kDeadline,
  objective_kind::kOutcome,
};

/// Windows of the alert rules, shortest first.
inline constexpr std::chrono::seconds kWindows[] = {
  std::chrono::minutes(5),
  std::chrono::minutes(30),
  std::chrono::hours(1),
  std::chrono::hours(6),
};

/// A rule fires when the error budget burns faster than its rate over both
/// windows: the long one shows that it matters, the short one that it still
/// goes on. After "Alerting on SLOs" in The Site Reliability Workbook.
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

/// How fast the budget burned over one window.
struct window_burn
{
  std::chrono::seconds window{ 0 };
  /// Whether the data reach back over the whole window.
  bool isCovered = false;
  double requests = 0;
  double bad = 0;
  /// Share of bad requests; zero where there were no requests.
  double errorRatio = 0;
  /// One spends the budget exactly; ten spends it ten times as fast.
  double burnRate = 0;
};

/// One objective of one class.
struct objective_burn
{
  objective_kind kind = objective_kind::kDeadline;
  std::vector<window_burn> windows;
  /// All data there are.
  window_burn whole;
  /// Rules that fire.
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

/// Works out the report at the end of the data; none where there are no two
/// snapshots of one gateway. A class without a request burns nothing.
[[nodiscard]] std::optional<report>
MakeReport(const policy::declaration& aDeclaration,
           const increments_by_class& aIncrements);

/// The burn over one window that ends at a moment. An increment that reaches
/// into the window counts with its share of time.
[[nodiscard]] window_burn
BurnOver(const std::vector<increment>& aIncrements,
         objective_kind aKind,
         double aObjective,
         clock::wall_time aEnd,
         std::chrono::seconds aWindow);

/// The objective's name in reports.
[[nodiscard]] const char*
ToString(objective_kind aKind);

} // namespace currantshed::burn

#endif
