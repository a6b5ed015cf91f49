#include "currantshed/customer/freshness.hpp"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

constexpr clock::time_point kStart{ 1h };

struct freshness_row
{
  const char* name;
  std::chrono::milliseconds bound;
  /// After the start; none where nothing was proved.
  std::chrono::milliseconds provedAt;
  std::chrono::milliseconds now;
  bool holds;
};

constexpr std::chrono::milliseconds kNever{ -1 };

const freshness_row kRows[] = {
  { "no bound", 0ms, kNever, 0ms, true },
  { "nothing proved", 5000ms, kNever, 0ms, false },
  { "just proved", 5000ms, 0ms, 0ms, true },
  { "within the bound", 5000ms, 0ms, 4800ms, true },
  { "too close to the bound", 5000ms, 0ms, 4900ms, false },
  { "past the bound", 5000ms, 0ms, 5001ms, false },
  { "after standing still", 5000ms, 1000ms, 60000ms, false },
};

} // namespace

TEST_GROUP(freshness){};

TEST(freshness, Keys_are_trusted_within_the_bound_after_verification)
{
  for (const auto& row : kRows) {
    customer::freshness made(row.bound);
    if (row.provedAt != kNever) {
      made.MarkVerified(kStart + row.provedAt);
    }
    CHECK_TEXT(made.Holds(kStart + row.now) == row.holds, row.name);
  }
}

TEST(freshness, An_older_verification_is_ignored)
{
  customer::freshness made(5000ms);
  made.MarkVerified(kStart + 2000ms);
  made.MarkVerified(kStart);
  CHECK(made.Holds(kStart + 6000ms));
  CHECK(made.Covers(kStart + 2000ms));
  CHECK(!made.Covers(kStart + 2001ms));
}
