#include "currantshed/burn/report.hpp"

#include <string>

#include <absl/strings/str_cat.h>

#include "currantshed/burn/print.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;

namespace {

using std::chrono::hours;
using std::chrono::minutes;

policy::declaration
Declare()
{
  policy::declaration declared;
  policy::work_class one;
  one.name = "a";
  one.objective = 0.999;
  declared.classes = { one };
  return declared;
}

clock::wall_time
At(minutes aTime)
{
  return clock::wall_time(hours(1000) + aTime);
}

burn::snapshot
Shot(const char* aTarget,
     minutes aTime,
     double aRequests,
     double aNotDone,
     double aMet)
{
  return { aTarget,
           At(aTime),
           { { "a", { aRequests, aNotDone, aMet, 0, 0 } } } };
}

/// A gateway read every minute, with bad requests during a time span.
struct history
{
  minutes length;
  minutes badFrom;
  minutes badUntil;
  /// Bad requests out of 1000 per minute.
  double badEachMinute;
};

std::vector<burn::snapshot>
Record(const history& aHistory)
{
  std::vector<burn::snapshot> shots;
  double requests = 0;
  double bad = 0;
  for (minutes time{ 0 }; time <= aHistory.length; ++time) {
    shots.push_back(Shot("g", time, requests, bad, requests - bad));
    requests += 1000;
    const bool isBad = time >= aHistory.badFrom && time < aHistory.badUntil;
    bad += isBad ? aHistory.badEachMinute : 0;
  }
  return shots;
}

struct alert_row
{
  const char* name;
  history given;
  /// Expected burn rates over the windows, "-" where not covered, and alerts.
  const char* expect;
  bool isBurning;
};

const alert_row kAlertRows[] = {
  { "nothing bad",
    { hours(7), minutes(0), minutes(0), 0 },
    "0.0 0.0 0.0 0.0",
    false },
  { "at the objective",
    { hours(7), minutes(0), hours(7), 1 },
    "1.0 1.0 1.0 1.0",
    false },
  { "an ongoing short outage: both windows of the fast rule",
    { hours(7), hours(7) - minutes(5), hours(7), 200 },
    "200.0 33.3 16.7 2.8 fast",
    true },
  { "the same outage half an hour later: over",
    { hours(7), hours(7) - minutes(35), hours(7) - minutes(30), 200 },
    "0.0 0.0 16.7 2.8",
    false },
  { "a slow burn for long: the slow rule",
    { hours(7), minutes(0), hours(7), 10 },
    "10.0 10.0 10.0 10.0 slow",
    true },
  { "both",
    { hours(7), minutes(0), hours(7), 20 },
    "20.0 20.0 20.0 20.0 fast slow",
    true },
  { "data for ten minutes cover one window; no rule can fire",
    { minutes(10), minutes(0), minutes(10), 500 },
    "500.0 - - -",
    false },
  { "data for an hour let the fast rule fire",
    { hours(1), minutes(0), hours(1), 500 },
    "500.0 500.0 500.0 - fast",
    true },
};

std::string
Print(const burn::objective_burn& aBurn)
{
  constexpr double kHalfOfTenth = 0.05;
  std::string text;
  for (const auto& one : aBurn.windows) {
    const auto rate = std::to_string(one.burnRate + kHalfOfTenth);
    absl::StrAppend(&text,
                    text.empty() ? "" : " ",
                    one.isCovered ? rate.substr(0, rate.find('.') + 2) : "-");
  }
  for (const auto& name : aBurn.alerts) {
    absl::StrAppend(&text, " ", name);
  }
  return text;
}

struct increment_row
{
  const char* name;
  std::vector<burn::snapshot> given;
  /// Expected sums over all increments.
  double requests;
  double notDone;
  double met;
};

const increment_row kIncrementRows[] = {
  { "one reading is only a baseline",
    { Shot("g", minutes(0), 50, 1, 40) },
    0,
    0,
    0 },
  { "the difference of two, in any order",
    { Shot("g", minutes(1), 150, 3, 130), Shot("g", minutes(0), 50, 1, 40) },
    100,
    2,
    90 },
  { "two gateways add up",
    { Shot("g", minutes(0), 50, 1, 40),
      Shot("h", minutes(0), 0, 0, 0),
      Shot("g", minutes(1), 60, 1, 50),
      Shot("h", minutes(1), 5, 5, 0) },
    15,
    5,
    10 },
  { "a restarted gateway counts from zero",
    { Shot("g", minutes(0), 1000, 9, 900), Shot("g", minutes(1), 30, 2, 28) },
    30,
    2,
    28 },
  { "a gateway that comes later counts from its first reading",
    { Shot("g", minutes(0), 0, 0, 0),
      Shot("g", minutes(2), 10, 0, 10),
      Shot("h", minutes(1), 700, 70, 600),
      Shot("h", minutes(2), 710, 71, 609) },
    20,
    1,
    19 },
  { "two readings at the same time give no increment",
    { Shot("g", minutes(0), 0, 0, 0), Shot("g", minutes(0), 10, 0, 10) },
    0,
    0,
    0 },
};

constexpr const char* kMetrics =
  "currantshed_requests_total{class=\"a\",outcome=\"done\"} 90\n"
  "currantshed_requests_total{class=\"a\",outcome=\"not_run\"} 4\n"
  "currantshed_requests_total{class=\"a\",outcome=\"unknown\"} 1\n"
  "currantshed_requests_total{class=\"a\",outcome=\"refused\"} 1000\n"
  "currantshed_deadline_met_total{class=\"a\"} 88\n"
  "currantshed_reads_total{class=\"a\",by=\"replica\"} 70\n"
  "currantshed_reads_total{class=\"a\",by=\"primary\"} 10\n"
  "other_total{class=\"a\"} 5\n"
  "currantshed_requests_total{outcome=\"done\"} 7\n";

} // namespace

TEST_GROUP(burn_report){};

TEST(burn_report, counters_leave_refused_requests_out)
{
  const auto read = burn::ReadCounters(kMetrics);
  LONGS_EQUAL(1, read.size());
  const burn::class_counters expected{ 95, 5, 88, 70, 80 };
  CHECK(read.at("a") == expected);
}

TEST(burn_report, increments)
{
  for (const auto& row : kIncrementRows) {
    burn::class_counters sum;
    for (const auto& [name, list] : burn::MakeIncrements(row.given)) {
      for (const auto& one : list) {
        sum.requests += one.counts.requests;
        sum.notDone += one.counts.notDone;
        sum.deadlineMet += one.counts.deadlineMet;
      }
    }
    DOUBLES_EQUAL_TEXT(row.requests, sum.requests, 1e-9, row.name);
    DOUBLES_EQUAL_TEXT(row.notDone, sum.notDone, 1e-9, row.name);
    DOUBLES_EQUAL_TEXT(row.met, sum.deadlineMet, 1e-9, row.name);
  }
}

TEST(burn_report, windows_and_alerts)
{
  for (const auto& row : kAlertRows) {
    const auto told =
      burn::MakeReport(Declare(), burn::MakeIncrements(Record(row.given)));
    CHECK_TEXT(told.has_value(), row.name);
    for (const auto& objective : told->classes.front().objectives) {
      STRCMP_EQUAL_TEXT(row.expect, Print(objective).c_str(), row.name);
    }
    CHECK_EQUAL_TEXT(row.isBurning, told->IsBurning(), row.name);
  }
}

TEST(burn_report, no_data)
{
  CHECK(!burn::MakeReport(Declare(), {}).has_value());
}

TEST(burn_report, an_increment_counts_with_its_share_of_the_window)
{
  const auto increments = burn::MakeIncrements(
    { Shot("g", minutes(0), 0, 0, 0), Shot("g", minutes(10), 1000, 100, 900) });
  const auto half = burn::BurnOver(increments.at("a"),
                                   burn::objective_kind::kOutcome,
                                   0.999,
                                   At(minutes(10)),
                                   minutes(5));
  DOUBLES_EQUAL(500, half.requests, 1e-9);
  DOUBLES_EQUAL(50, half.bad, 1e-9);
  DOUBLES_EQUAL(100, half.burnRate, 1e-6);
}

TEST(burn_report, printed)
{
  const auto told = burn::MakeReport(
    Declare(),
    burn::MakeIncrements(Record({ hours(1), minutes(0), hours(1), 500 })));
  const std::string text = burn::FormatReport(*told);
  CHECK(text.find("a                        outcome       99.9%      60000    "
                  "30000   500.00   500.00   500.00        -   500.00  ALERT "
                  "fast\n") != std::string::npos);
  const auto json = burn::ReportToJson(*told);
  CHECK(json.at("burning").as_bool());
}
