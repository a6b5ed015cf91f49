#include <chrono>
#include <cmath>
#include <string>

#include "currantshed/customer/time_share.hpp"
#include "currantshed/customer/token_bank.hpp"
#include "currantshed/customer/token_purse.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using customer::share;

namespace {

constexpr clock::time_point kStart{ 1h };
const std::size_t kBakers = customer::PartOf("baker");
const std::size_t kSmiths = customer::PartOf("smith");

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

struct withdrawal_row
{
  const char* name;
  /// Zero for none.
  std::chrono::milliseconds window;
  std::size_t banks;
  customer::quota limit;
  /// Accrual time added before, in seconds at the full rate.
  double deposited;
  unsigned wanted;
  unsigned expect;
};

// All quota coordinators together hold twelve tokens beyond the burst.
const withdrawal_row kWithdrawalRows[] = {
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

TEST(tokens, A_share_is_made_once)
{
  for (const auto& row : kShareRows) {
    customer::time_share made;
    CHECK_EQUAL(0.0, made.Take(1, kStart).count());
    // The time credited for the start is taken first.
    made.Begin(kStart);
    DOUBLES_EQUAL_TEXT(0.4, made.Take(1, kStart).count(), 1e-9, row.name);
    const auto got = made.Take(row.vms, kStart + row.passed);
    DOUBLES_EQUAL_TEXT(row.expect, got.count(), 1e-9, row.name);
    const auto again = made.Take(row.vms, kStart + row.passed);
    DOUBLES_EQUAL_TEXT(0.0, again.count(), 1e-9, row.name);
  }
}

TEST(tokens, A_bank_gives_what_came_in)
{
  for (const auto& row : kWithdrawalRows) {
    customer::token_bank bank(row.window);
    bank.SetBanks(row.banks);
    (void)bank.Withdraw("baker", row.limit, 0);
    bank.Deposit("vm", 1, 1us, kBakers, share{ row.deposited });
    const auto got = bank.Withdraw("baker", row.limit, row.wanted);
    LONGS_EQUAL_TEXT(row.expect, got.count, row.name);
    CHECK_TEXT((got.count == 0) == (got.retryAfter > 0ms), row.name);
  }
}

TEST(tokens, A_share_counts_once)
{
  customer::token_bank bank(0ms);
  const customer::quota limit{ 100, 100 };
  bank.Deposit("vm", 1, 5us, kBakers, share{ 0.1 });
  bank.Deposit("vm", 1, 5us, kBakers, share{ 0.1 });
  bank.Deposit("vm", 1, 4us, kBakers, share{ 0.1 });
  LONGS_EQUAL(10, bank.Withdraw("baker", limit, 99).count);
  // The VM has restarted, with another clock.
  bank.Deposit("vm", 2, 1us, kBakers, share{ 0.1 });
  LONGS_EQUAL(10, bank.Withdraw("baker", limit, 99).count);
}

TEST(tokens, A_customer_does_not_take_anothers)
{
  customer::token_bank bank(0ms);
  const customer::quota limit{ 100, 100 };
  bank.Deposit("vm", 1, 1us, kBakers, share{ 0.1 });
  LONGS_EQUAL(10, bank.Withdraw("baker", limit, 99).count);
  LONGS_EQUAL(0, bank.Withdraw("baker", limit, 1).count);
  CHECK(kBakers != kSmiths);
  LONGS_EQUAL(0, bank.Withdraw("smith", limit, 99).count);
  bank.Deposit("vm", 1, 1us, kSmiths, share{ 0.1 });
  LONGS_EQUAL(10, bank.Withdraw("smith", limit, 99).count);
}

// The more operations are refused, the later each is told to retry.
TEST(tokens, Refused_operations_come_back_in_turn)
{
  customer::token_bank bank(0ms);
  const customer::quota limit{ 10, 0 };
  const auto first = bank.Withdraw("baker", limit, 5).retryAfter;
  const auto second = bank.Withdraw("baker", limit, 5).retryAfter;
  CHECK(first == 500ms);
  CHECK(second == 1000ms);
  CHECK(bank.Withdraw("baker", limit, 500).retryAfter == 2000ms);
}

TEST(tokens, Tokens_at_hand_are_good_for_a_moment)
{
  customer::token_purse purse;
  purse.Put("baker", 2, kStart);
  purse.Put("baker", 1, kStart + 300ms);
  CHECK(!purse.Take("smith", kStart));
  CHECK(purse.Take("baker", kStart + 100ms));
  // The second token of the first batch has expired by now.
  CHECK(purse.Take("baker", kStart + 600ms));
  CHECK(!purse.Take("baker", kStart + 600ms));
}
