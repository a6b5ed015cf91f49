#include "currantshed/log/line_budget.hpp"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

constexpr clock::time_point kStart{ 1h };

int
Taken(log::line_budget& aBudget,
      bool aMatters,
      int aLines,
      clock::time_point aNow)
{
  int taken = 0;
  for (int line = 0; line < aLines; ++line) {
    taken += aBudget.Take(aMatters, aNow) ? 1 : 0;
  }
  return taken;
}

} // namespace

TEST_GROUP(line_budget){};

TEST(line_budget, bounds_lines_and_counts_the_rest)
{
  log::line_budget budget(10, 40);
  CHECK_EQUAL(30, Taken(budget, false, 100, kStart));
  // What matters more has a part of its own.
  CHECK_EQUAL(10, Taken(budget, true, 100, kStart));
  CHECK_EQUAL(160, static_cast<int>(budget.TakeDropped()));
  CHECK_EQUAL(0, static_cast<int>(budget.TakeDropped()));
  CHECK_EQUAL(10, Taken(budget, false, 100, kStart + 2s));
}
