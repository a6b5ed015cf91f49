#include <chrono>
#include <cmath>
#include <string>

#include "currantshed/customer/token_accrual.hpp"
#include "currantshed/customer/token_buckets.hpp"
#include "currantshed/customer/token_cache.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using customer::share;

namespace {

constexpr clock::time_point kStart{ 1h };
const std::size_t kBakerPartition = customer::PartitionOf("baker");
const std::size_t kSmithPartition = customer::PartitionOf("smith");

/// The elapsed time does not include the time credited for the start.
struct share_row
{
  const char* name;
  std::size_t vms;
  std::chrono::milliseconds passed;
  double expect;
};

const share_row kShareRows[] = {
  { "alone", 1, 400ms, 0.4 },
  { "one of four", 4, 400ms, 0.1 },
  { "after a pause of the VM", 1, 60s, 1.0 },
  { "no time elapsed", 1, 0ms, 0.0 },
  { "no VM known", 0, 400ms, 0.0 },
};

struct grant_row
{
  const char* name;
  /// Zero for none.
  std::chrono::milliseconds window;
  std::size_t coordinators;
  customer::quota limit;
  /// Accrual time added before, in seconds at the full rate.
  double accrued;
  unsigned wanted;
  unsigned expect;
};

// All quota coordinators together hold twelve tokens beyond the burst.
const grant_row kGrantRows[] = {
  { "a new bucket is empty", 0ms, 1, { 100, 100 }, 0.0, 1, 0 },
  { "what was added", 0ms, 1, { 100, 100 }, 0.1, 20, 10 },
  { "no more than requested", 0ms, 1, { 100, 100 }, 0.1, 3, 3 },
  { "no more than the capacity", 0ms, 1, { 100, 100 }, 60.0, 500, 112 },
  { "one of three coordinators holds a third",
    0ms,
    3,
    { 100, 100 },
    60.0,
    500,
    37 },
  { "a small customer gets whole operations", 0ms, 3, { 2, 2 }, 10.0, 9, 4 },
  { "no rate", 0ms, 1, { 0, 0 }, 60.0, 1, 0 },
  { "a burst is spread over the window", 5000ms, 1, { 100, 100 }, 0.1, 20, 12 },
  { "the saved part of a burst", 5000ms, 1, { 100, 100 }, 60.0, 500, 42 },
};

} // namespace

TEST_GROUP(tokens){};

TEST(tokens, Accrued_time_is_handed_out_once)
{
  for (const auto& row : kShareRows) {
    customer::token_accrual accrual;
    CHECK_EQUAL(0.0, accrual.Take(1, kStart).count());
    // The time credited for the start is taken first.
    accrual.Begin(kStart);
    DOUBLES_EQUAL_TEXT(0.4, accrual.Take(1, kStart).count(), 1e-9, row.name);
    const auto result = accrual.Take(row.vms, kStart + row.passed);
    DOUBLES_EQUAL_TEXT(row.expect, result.count(), 1e-9, row.name);
    const auto again = accrual.Take(row.vms, kStart + row.passed);
    DOUBLES_EQUAL_TEXT(0.0, again.count(), 1e-9, row.name);
  }
}

TEST(tokens, A_bucket_grants_what_was_added)
{
  for (const auto& row : kGrantRows) {
    customer::token_buckets buckets(row.window);
    buckets.SetCoordinatorCount(row.coordinators);
    (void)buckets.GrantTokens("baker", row.limit, 0);
    buckets.AddShare("vm", 1, 1us, kBakerPartition, share{ row.accrued });
    const auto result = buckets.GrantTokens("baker", row.limit, row.wanted);
    LONGS_EQUAL_TEXT(row.expect, result.count, row.name);
    CHECK_TEXT((result.count == 0) == (result.retryAfter > 0ms), row.name);
  }
}

TEST(tokens, A_share_counts_once)
{
  customer::token_buckets buckets(0ms);
  const customer::quota limit{ 100, 100 };
  buckets.AddShare("vm", 1, 5us, kBakerPartition, share{ 0.1 });
  buckets.AddShare("vm", 1, 5us, kBakerPartition, share{ 0.1 });
  buckets.AddShare("vm", 1, 4us, kBakerPartition, share{ 0.1 });
  LONGS_EQUAL(10, buckets.GrantTokens("baker", limit, 99).count);
  // The VM has restarted, with another clock.
  buckets.AddShare("vm", 2, 1us, kBakerPartition, share{ 0.1 });
  LONGS_EQUAL(10, buckets.GrantTokens("baker", limit, 99).count);
}

TEST(tokens, Customers_have_separate_buckets)
{
  customer::token_buckets buckets(0ms);
  const customer::quota limit{ 100, 100 };
  buckets.AddShare("vm", 1, 1us, kBakerPartition, share{ 0.1 });
  LONGS_EQUAL(10, buckets.GrantTokens("baker", limit, 99).count);
  LONGS_EQUAL(0, buckets.GrantTokens("baker", limit, 1).count);
  CHECK(kBakerPartition != kSmithPartition);
  LONGS_EQUAL(0, buckets.GrantTokens("smith", limit, 99).count);
  buckets.AddShare("vm", 1, 1us, kSmithPartition, share{ 0.1 });
  LONGS_EQUAL(10, buckets.GrantTokens("smith", limit, 99).count);
}

// The more operations are refused, the later each is told to retry.
TEST(tokens, Refused_operations_are_told_to_retry_in_turn)
{
  customer::token_buckets buckets(0ms);
  const customer::quota limit{ 10, 0 };
  const auto first = buckets.GrantTokens("baker", limit, 5).retryAfter;
  const auto second = buckets.GrantTokens("baker", limit, 5).retryAfter;
  CHECK(first == 500ms);
  CHECK(second == 1000ms);
  CHECK(buckets.GrantTokens("baker", limit, 500).retryAfter == 2000ms);
}

TEST(tokens, Cached_tokens_expire)
{
  customer::token_cache cache;
  cache.Put("baker", 2, kStart);
  cache.Put("baker", 1, kStart + 300ms);
  CHECK(!cache.Take("smith", kStart));
  CHECK(cache.Take("baker", kStart + 100ms));
  // The second token of the first batch has expired by now.
  CHECK(cache.Take("baker", kStart + 600ms));
  CHECK(!cache.Take("baker", kStart + 600ms));
}
