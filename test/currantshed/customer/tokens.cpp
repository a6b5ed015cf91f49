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
const std::size_t kBakers = customer::PartitionOf("baker");
const std::size_t kSmiths = customer::PartitionOf("smith");

/// The time that passes has nothing of the start in it.
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
  { "after standing still", 1, 60s, 1.0 },
  { "no time", 1, 0ms, 0.0 },
  { "nobody is known", 0, 400ms, 0.0 },
};

struct withdrawal_row
{
  const char* name;
  /// Zero for none.
  std::chrono::milliseconds window;
  std::size_t banks;
  customer::quota limit;
  /// Seconds of the whole rate that come in before.
  double deposited;
  unsigned wanted;
  unsigned expect;
};

// Twelve tokens beyond the burst are held by all banks together.
const withdrawal_row kWithdrawalRows[] = {
  { "a bank that starts is empty", 0ms, 1, { 100, 100 }, 0.0, 1, 0 },
  { "what has come in", 0ms, 1, { 100, 100 }, 0.1, 20, 10 },
  { "no more than is wanted", 0ms, 1, { 100, 100 }, 0.1, 3, 3 },
  { "no more than the burst and a little",
    0ms,
    1,
    { 100, 100 },
    60.0,
    500,
    112 },
  { "a third of them in each of three", 0ms, 3, { 100, 100 }, 60.0, 500, 37 },
  { "a small customer's whole operations", 0ms, 3, { 2, 2 }, 10.0, 9, 4 },
  { "no rate", 0ms, 1, { 0, 0 }, 60.0, 1, 0 },
  { "a burst spread over a window", 5000ms, 1, { 100, 100 }, 0.1, 20, 12 },
  { "what is saved up of it", 5000ms, 1, { 100, 100 }, 60.0, 500, 42 },
};

} // namespace

TEST_GROUP(tokens){};

TEST(tokens, Accrued_time_is_handed_out_once)
{
  for (const auto& row : kShareRows) {
    customer::token_accrual made;
    CHECK_EQUAL(0.0, made.Take(1, kStart).count());
    // What a start brings is taken first.
    made.Begin(kStart);
    DOUBLES_EQUAL_TEXT(0.4, made.Take(1, kStart).count(), 1e-9, row.name);
    const auto got = made.Take(row.vms, kStart + row.passed);
    DOUBLES_EQUAL_TEXT(row.expect, got.count(), 1e-9, row.name);
    const auto again = made.Take(row.vms, kStart + row.passed);
    DOUBLES_EQUAL_TEXT(0.0, again.count(), 1e-9, row.name);
  }
}

TEST(tokens, A_bucket_grants_what_was_added)
{
  for (const auto& row : kWithdrawalRows) {
    customer::token_buckets bank(row.window);
    bank.SetCoordinatorCount(row.banks);
    (void)bank.GrantTokens("baker", row.limit, 0);
    bank.AddShare("vm", 1, 1us, kBakers, share{ row.deposited });
    const auto got = bank.GrantTokens("baker", row.limit, row.wanted);
    LONGS_EQUAL_TEXT(row.expect, got.count, row.name);
    CHECK_TEXT((got.count == 0) == (got.retryAfter > 0ms), row.name);
  }
}

TEST(tokens, A_share_counts_once)
{
  customer::token_buckets bank(0ms);
  const customer::quota limit{ 100, 100 };
  bank.AddShare("vm", 1, 5us, kBakers, share{ 0.1 });
  bank.AddShare("vm", 1, 5us, kBakers, share{ 0.1 });
  bank.AddShare("vm", 1, 4us, kBakers, share{ 0.1 });
  LONGS_EQUAL(10, bank.GrantTokens("baker", limit, 99).count);
  // The VM has started again, with another clock.
  bank.AddShare("vm", 2, 1us, kBakers, share{ 0.1 });
  LONGS_EQUAL(10, bank.GrantTokens("baker", limit, 99).count);
}

TEST(tokens, Customers_have_separate_buckets)
{
  customer::token_buckets bank(0ms);
  const customer::quota limit{ 100, 100 };
  bank.AddShare("vm", 1, 1us, kBakers, share{ 0.1 });
  LONGS_EQUAL(10, bank.GrantTokens("baker", limit, 99).count);
  LONGS_EQUAL(0, bank.GrantTokens("baker", limit, 1).count);
  CHECK(kBakers != kSmiths);
  LONGS_EQUAL(0, bank.GrantTokens("smith", limit, 99).count);
  bank.AddShare("vm", 1, 1us, kSmiths, share{ 0.1 });
  LONGS_EQUAL(10, bank.GrantTokens("smith", limit, 99).count);
}

// The more are refused, the later they come back, each in turn.
TEST(tokens, Refused_operations_are_told_to_retry_in_turn)
{
  customer::token_buckets bank(0ms);
  const customer::quota limit{ 10, 0 };
  const auto first = bank.GrantTokens("baker", limit, 5).retryAfter;
  const auto second = bank.GrantTokens("baker", limit, 5).retryAfter;
  CHECK(first == 500ms);
  CHECK(second == 1000ms);
  CHECK(bank.GrantTokens("baker", limit, 500).retryAfter == 2000ms);
}

TEST(tokens, Cached_tokens_expire)
{
  customer::token_cache purse;
  purse.Put("baker", 2, kStart);
  purse.Put("baker", 1, kStart + 300ms);
  CHECK(!purse.Take("smith", kStart));
  CHECK(purse.Take("baker", kStart + 100ms));
  // The second of the first two is lost by now.
  CHECK(purse.Take("baker", kStart + 600ms));
  CHECK(!purse.Take("baker", kStart + 600ms));
}
