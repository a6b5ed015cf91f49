#include "currantshed/pooler/failover_step_timer.hpp"

#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace currantshed;

namespace {

constexpr clock::time_point kStart{ 100s };

struct told
{
  std::chrono::milliseconds at;
  failover::action action;
};

struct watch_row
{
  const char* name;
  std::vector<told> actions;
  std::vector<std::string> steps;
};

failover::action
Suspect(const std::string& aPrimary)
{
  return failover::report_suspicion{ { "g", 1, aPrimary } };
}

std::vector<watch_row>
WatchRows()
{
  const failover::action fence = failover::fence{ "b", 2 };
  const failover::action promote = failover::promote{ "b", 2 };
  const failover::action announce = failover::announce{ 2, "b" };
  return {
    { "nothing", {}, {} },
    { "a whole failover",
      { { 0ms, Suspect("a") },
        { 30ms, fence },
        { 31ms, failover::fence{ "c", 2 } },
        { 240ms, promote },
        { 250ms, announce } },
      { "detect 30", "fence 210", "promote 10" } },
    { "a first primary has no detection",
      { { 0ms, fence }, { 200ms, promote }, { 210ms, announce } },
      { "fence 200", "promote 10" } },
    { "a suspicion withdrawn",
      { { 0ms, Suspect("a") }, { 10ms, Suspect("") }, { 20ms, fence } },
      {} },
    { "another pooler won",
      { { 0ms, Suspect("a") },
        { 30ms, fence },
        { 60ms, failover::announce{ 3, "c" } } },
      { "detect 30" } },
    { "a second attempt with a higher term",
      { { 0ms, Suspect("a") },
        { 30ms, fence },
        { 90ms, failover::fence{ "b", 5 } },
        { 290ms, failover::promote{ "b", 5 } } },
      { "detect 30", "detect 90", "fence 200" } },
  };
}

} // namespace

TEST_GROUP(failover_step_timer){};

TEST(failover_step_timer, steps)
{
  for (const auto& row : WatchRows()) {
    pooler::failover_step_timer watch;
    std::vector<std::string> steps;
    for (const auto& told : row.actions) {
      const auto step = watch.Observe(told.action, kStart + told.at);
      if (step) {
        const auto elapsed =
          std::chrono::duration_cast<std::chrono::milliseconds>(step->elapsed);
        steps.push_back(step->name + " " + std::to_string(elapsed.count()));
      }
    }
    CHECK_TEXT(steps == row.steps, row.name);
  }
}
