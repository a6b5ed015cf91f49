#include "currantshed/burn/print.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <boost/json/array.hpp>

#include "currantshed/clock/print_time.hpp"
#include "currantshed/settings/duration.hpp"

namespace currantshed::burn {
namespace {

constexpr double kPercent = 100;
constexpr const char* kNone = "-";

std::string
PrintWindow(std::chrono::seconds aWindow)
{
  return settings::FormatDuration(aWindow);
}

/// Formats a burn rate; "-" for a window that the data do not cover.
std::string
PrintRate(const window_burn& aWindow)
{
  return aWindow.isCovered ? absl::StrFormat("%.2f", aWindow.burnRate) : kNone;
}

std::string
PrintShare(double aPart, double aWhole)
{
  return aWhole > 0 ? absl::StrFormat("%.2f%%", kPercent * aPart / aWhole)
                    : kNone;
}

void
PrintObjective(const class_burn& aClass,
               const objective_burn& aBurn,
               std::string& aText)
{
  absl::StrAppendFormat(&aText,
                        "%-24s %-9s %9s %10.0f %8.0f",
                        aClass.name,
                        ToString(aBurn.kind),
                        absl::StrFormat("%.6g%%", kPercent * aClass.objective),
                        aBurn.whole.requests,
                        aBurn.whole.bad);
  for (const auto& window : aBurn.windows) {
    absl::StrAppendFormat(&aText, " %8s", PrintRate(window));
  }
  absl::StrAppendFormat(
    &aText,
    " %8s  %s\n",
    PrintRate(aBurn.whole),
    aBurn.alerts.empty()
      ? "ok"
      : absl::StrCat("ALERT ", absl::StrJoin(aBurn.alerts, ", ")));
}

boost::json::object
WindowToJson(const window_burn& aWindow)
{
  return {
    { "window", PrintWindow(aWindow.window) }, { "covered", aWindow.isCovered },
    { "requests", aWindow.requests },          { "bad", aWindow.bad },
    { "error_ratio", aWindow.errorRatio },     { "burn_rate", aWindow.burnRate }
  };
}

boost::json::object
ObjectiveToJson(const objective_burn& aBurn)
{
  boost::json::array windows;
  for (const auto& window : aBurn.windows) {
    windows.push_back(WindowToJson(window));
  }
  boost::json::array alerts;
  for (const auto& name : aBurn.alerts) {
    alerts.push_back(boost::json::string(name));
  }
  return { { "target", ToString(aBurn.kind) },
           { "whole", WindowToJson(aBurn.whole) },
           { "windows", std::move(windows) },
           { "alerts", std::move(alerts) } };
}

} // namespace

std::string
FormatReport(const report& aReport)
{
  std::string text = absl::StrCat("service-level burn from ",
                                  clock::PrintTime(aReport.begin),
                                  " to ",
                                  clock::PrintTime(aReport.end),
                                  "; 1.00 spends the error budget exactly\n\n");
  absl::StrAppendFormat(&text,
                        "%-24s %-9s %9s %10s %8s",
                        "CLASS",
                        "TARGET",
                        "OBJECTIVE",
                        "REQUESTS",
                        "BAD");
  for (const auto window : kWindows) {
    absl::StrAppendFormat(&text, " %8s", PrintWindow(window));
  }
  absl::StrAppendFormat(&text, " %8s  %s\n", "ALL", "STATE");
  for (const auto& one : aReport.classes) {
    for (const auto& objective : one.objectives) {
      PrintObjective(one, objective, text);
    }
  }
  text += "\n";
  for (const auto& rule : kAlertRules) {
    absl::StrAppendFormat(&text,
                          "%s alert: above %.4g over %s and over %s\n",
                          rule.name,
                          rule.rate,
                          PrintWindow(rule.longWindow),
                          PrintWindow(rule.shortWindow));
  }
  text += "'-' stands for a window that the data don't cover; its rule can't "
          "fire\n";
  for (const auto& one : aReport.classes) {
    if (one.reads > 0) {
      absl::StrAppendFormat(&text,
                            "reads of %s by replicas: %s of %.0f\n",
                            one.name,
                            PrintShare(one.replicaReads, one.reads),
                            one.reads);
    }
  }
  return text;
}

boost::json::object
ReportToJson(const report& aReport)
{
  boost::json::array classes;
  for (const auto& one : aReport.classes) {
    boost::json::array targets;
    for (const auto& objective : one.objectives) {
      targets.push_back(ObjectiveToJson(objective));
    }
    classes.push_back(
      boost::json::object{ { "class", one.name },
                           { "objective", one.objective },
                           { "targets", std::move(targets) },
                           { "reads", one.reads },
                           { "reads_by_replicas", one.replicaReads } });
  }
  return { { "begin", clock::PrintTime(aReport.begin) },
           { "end", clock::PrintTime(aReport.end) },
           { "burning", aReport.IsBurning() },
           { "classes", std::move(classes) } };
}

} // namespace currantshed::burn
