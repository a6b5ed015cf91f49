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
  /// After the start; kNever if nothing was verified.
  std::chrono::milliseconds verifiedAt;
  std::chrono::milliseconds now;
  bool holds;
};

constexpr std::chrono::milliseconds kNever{ -1 };

const freshness_row kRows[] = {
  { "no bound", 0ms, kNever, 0ms, true },
  { "nothing verified", 5000ms, kNever, 0ms, false },
  { "just verified", 5000ms, 0ms, 0ms, true },
  { "within the bound", 5000ms, 0ms, 4800ms, true },
  { "too close to the bound", 5000ms, 0ms, 4900ms, false },
  { "past the bound", 5000ms, 0ms, 5001ms, false },
  { "after a pause of the VM", 5000ms, 1000ms, 60000ms, false },
};

} // namespace

TEST_GROUP(freshness){};

TEST(freshness, Keys_are_trusted_within_the_bound_after_verification)
{
  for (const auto& row : kRows) {
    customer::freshness subject(row.bound);
    if (row.verifiedAt != kNever) {
      subject.MarkVerified(kStart + row.verifiedAt);
    }
    CHECK_TEXT(subject.Holds(kStart + row.now) == row.holds, row.name);
  }
}

TEST(freshness, An_older_verification_is_ignored)
{
  customer::freshness subject(5000ms);
  subject.MarkVerified(kStart + 2000ms);
  subject.MarkVerified(kStart);
  CHECK(subject.Holds(kStart + 6000ms));
  CHECK(subject.Covers(kStart + 2000ms));
  CHECK(!subject.Covers(kStart + 2001ms));
}
