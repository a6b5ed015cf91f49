#include "currantshed/balance/outlier_detector.hpp"

#include <chrono>
#include <functional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using balance::group_health;
using balance::observation;
using balance::outlier_detector;

namespace {

constexpr clock::time_point kStart{ 1h };
constexpr group_health kThree{ 3, 0, 1 };

/// One statement of a replayed load.
using answer_of = std::function<observation(int)>;

observation
AlwaysWell(int /*aNumber*/)
{
  return observation::kSucceeded;
}

answer_of
Always(observation aWhat)
{
  return [aWhat](int) { return aWhat; };
}

// Nine of 20, spread evenly.
observation
ShedsNearlyHalf(int aNumber)
{
  return aNumber * 9 % 20 < 9 ? observation::kRejected
                              : observation::kSucceeded;
}

observation
OneInTwenty(int aNumber)
{
  return aNumber % 20 == 0 ? observation::kRejected : observation::kSucceeded;
}

// Half of the statements use the broken one of two paths.
observation
OneOfTwoPathsLost(int aNumber)
{
  return aNumber % 2 == 0 ? observation::kPathLost : observation::kSucceeded;
}

struct load_row
{
  const char* name;
  answer_of load;
  std::chrono::milliseconds interval;
  int statements;
  group_health group;
  /// Expected number of observations at the first ejection; zero for none.
  int ejectedBy;
};

const load_row kLoadRows[] = {
  { "a healthy server", AlwaysWell, 500ms, 200, kThree, 0 },
  { "a rejection now and then", OneInTwenty, 500ms, 200, kThree, 0 },
  { "sheds 45 %, a statement each 500 ms",
    ShedsNearlyHalf,
    500ms,
    200,
    kThree,
    8 },
  { "sheds 45 %, a statement each 10 ms",
    ShedsNearlyHalf,
    10ms,
    200,
    kThree,
    8 },
  { "crashed, known from a holder",
    Always(observation::kUnreachable),
    500ms,
    20,
    kThree,
    2 },
  { "crashed, each connection resets",
    Always(observation::kReset),
    100ms,
    20,
    kThree,
    4 },
  { "one rejection is no evidence",
    Always(observation::kRejected),
    500ms,
    1,
    kThree,
    0 },
  { "one of two paths is broken", OneOfTwoPathsLost, 500ms, 200, kThree, 0 },
  { "the only path is broken",
    Always(observation::kPathLost),
    500ms,
    200,
    kThree,
    0 },
  { "another of three is ejected",
    Always(observation::kFailed),
    100ms,
    200,
    { 3, 1, 2 },
    0 },
  { "all of three look bad",
    Always(observation::kFailed),
    100ms,
    200,
    { 3, 0, 3 },
    0 },
  { "the only server of its group",
    Always(observation::kFailed),
    100ms,
    200,
    { 1, 0, 1 },
    0 },
  { "one of two servers",
    Always(observation::kFailed),
    100ms,
    200,
    { 2, 0, 1 },
    4 },
};

struct report_row
{
  const char* name;
  unsigned permille;
  std::chrono::milliseconds age;
  bool isEjected;
};

const report_row kReportRows[] = {
  { "the holder sees 45 % fail", 450, 0ms, true },
  { "a few failures", 100, 0ms, false },
  { "an old report", 450, 2000ms, false },
};

} // namespace

TEST_GROUP(outlier_detector){};

TEST(outlier_detector, ejects_a_server_that_fails_and_no_other)
{
  for (const auto& row : kLoadRows) {
    outlier_detector detector;
    int ejectedBy = 0;
    for (int i = 0; i < row.statements && ejectedBy == 0; ++i) {
      const auto now = kStart + i * row.interval;
      detector.Observe(row.load(i), now);
      if (detector.TryEject(row.group, now)) {
        ejectedBy = i + 1;
        CHECK_TEXT(detector.IsEjected(now), row.name);
        DOUBLES_EQUAL_TEXT(0, detector.Share(now), 0.001, row.name);
      }
    }
    const bool isExpected = row.ejectedBy == 0
                              ? ejectedBy == 0
                              : ejectedBy > 0 && ejectedBy <= row.ejectedBy;
    CHECK_TEXT(
      isExpected,
      (row.name + std::string(": ") + std::to_string(ejectedBy)).c_str());
  }
}

TEST(outlier_detector, takes_a_holders_report_for_evidence)
{
  for (const auto& row : kReportRows) {
    outlier_detector detector;
    detector.ObserveReport(row.permille, kStart);
    const auto made = detector.TryEject(kThree, kStart + row.age);
    CHECK_EQUAL_TEXT(row.isEjected, made.has_value(), row.name);
  }
}

// Each VM sees few statements; a report from two would be chance.
TEST(outlier_detector, reports_only_what_enough_statements_show)
{
  outlier_detector detector;
  detector.Observe(observation::kRejected, kStart);
  detector.Observe(observation::kRejected, kStart);
  CHECK_EQUAL(0U, detector.FailurePermille(kStart));
  for (int i = 0; i < 8; ++i) {
    detector.Observe(observation::kSucceeded, kStart);
  }
  CHECK_EQUAL(200U, detector.FailurePermille(kStart));
}

// A holder that avoids a server itself still sees the statements of others.
TEST(outlier_detector, reports_while_it_is_ejected)
{
  outlier_detector detector;
  for (int i = 0; i < 4; ++i) {
    detector.Observe(observation::kFailed, kStart);
  }
  CHECK(detector.TryEject(kThree, kStart).has_value());
  for (int i = 0; i < 8; ++i) {
    detector.Observe(observation::kFailed, kStart + 100ms);
  }
  CHECK_EQUAL(1000U, detector.FailurePermille(kStart + 100ms));
}

// Down for 700 ms, up for 700 ms. A success at the start of each upward phase
// made it look healthy, and it was the first choice all the time.
TEST(outlier_detector, avoids_a_flapping_server_for_longer_each_time)
{
  outlier_detector detector;
  std::vector<std::chrono::milliseconds> durations;
  int sent = 0;
  int failed = 0;
  for (auto after = 0ms; after < 60s; after += 50ms) {
    const auto now = kStart + after;
    const bool isReturning = detector.Share(now) < 1;
    if (detector.IsEjected(now) || (isReturning && after % 500ms != 0ms)) {
      continue;
    }
    const bool isDown = (after / 700ms) % 2 == 0;
    ++sent;
    failed += isDown ? 1 : 0;
    detector.Observe(isDown ? observation::kReset : observation::kSucceeded,
                     now);
    if (const auto made = detector.TryEject(kThree, now)) {
      durations.push_back(made->duration);
    }
  }
  CHECK(durations.size() >= 4);
  for (std::size_t i = 1; i < durations.size(); ++i) {
    CHECK(durations[i] ==
          std::min<std::chrono::milliseconds>(durations[i - 1] * 2, 16000ms));
  }
  CHECK(failed <= 30);
}

TEST(outlier_detector, forgets_repetitions_only_after_a_healthy_span)
{
  struct row
  {
    const char* name;
    std::chrono::milliseconds healthyFor;
    std::chrono::milliseconds duration;
  };
  const row rows[] = {
    { "at once", 3100ms, 2000ms },
    { "after one healthy span", 10100ms, 1000ms },
    { "after many", 100s, 1000ms },
  };
  for (const auto& row : rows) {
    outlier_detector detector;
    auto now = kStart;
    const auto eject = [&] {
      for (int i = 0; i < 4; ++i) {
        detector.Observe(observation::kFailed, now);
      }
      return detector.TryEject(kThree, now);
    };
    CHECK(eject()->duration == 1000ms);
    now += 1000ms;
    for (const auto until = now + row.healthyFor; now < until; now += 100ms) {
      detector.Observe(observation::kSucceeded, now);
    }
    // A long enough pause, so that only the repetitions are left.
    detector.Observe(observation::kFailed, now);
    for (int i = 0; i < 40; ++i) {
      detector.Observe(observation::kFailed, now);
    }
    const auto again = detector.TryEject(kThree, now);
    CHECK_TEXT(again.has_value(), row.name);
    CHECK_TEXT(again->duration == row.duration, row.name);
  }
}

// A server that failed for an hour isn't held back for the next hour.
TEST(outlier_detector, remembers_at_most_five_repetitions)
{
  outlier_detector detector;
  auto now = kStart;
  const auto eject = [&] {
    for (int i = 0; i < 40; ++i) {
      detector.Observe(observation::kFailed, now);
    }
    return detector.TryEject(kThree, now);
  };
  for (int i = 0; i < 20; ++i) {
    const auto made = eject();
    CHECK(made.has_value());
    CHECK(made->repetitions <= 5);
    now += made->duration;
  }
  now += 50100ms;
  CHECK(eject()->duration == 1000ms);
}

TEST(outlier_detector, gives_a_returning_server_work_slowly)
{
  outlier_detector detector;
  for (int i = 0; i < 4; ++i) {
    detector.Observe(observation::kFailed, kStart);
  }
  CHECK(detector.TryEject(kThree, kStart).has_value());
  CHECK(!detector.TakeReturned(kStart + 999ms));
  CHECK(detector.TakeReturned(kStart + 1000ms));
  CHECK(!detector.TakeReturned(kStart + 1000ms));
  struct row
  {
    std::chrono::milliseconds after;
    double share;
  };
  for (const auto& row : { row{ 999ms, 0 },
                           row{ 1000ms, 0.1 },
                           row{ 2500ms, 0.55 },
                           row{ 4000ms, 1 } }) {
    DOUBLES_EQUAL(row.share, detector.Share(kStart + row.after), 0.001);
  }
  // Answers to what was sent before the ejection, and reports of before, don't
  // count; the first failure of the return does.
  detector.Observe(observation::kFailed, kStart + 500ms);
  detector.ObserveReport(900, kStart + 1050ms);
  CHECK(!detector.TryEject(kThree, kStart + 1100ms).has_value());
  detector.Observe(observation::kFailed, kStart + 1200ms);
  const auto again = detector.TryEject(kThree, kStart + 1200ms);
  CHECK(again.has_value());
  CHECK(again->duration == 2000ms);
  CHECK_EQUAL(2U, again->repetitions);
}
