#include <chrono>
#include <cmath>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "currantshed/customer/operation_token.hpp"
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

struct incarnation_row
{
  const char* name;
  /// Incarnation and time of sending, in the order of arrival; each carries
  /// ten tokens.
  std::vector<std::pair<std::uint64_t, std::chrono::microseconds>> messages;
  unsigned expect;
};

// Incarnations are random numbers.
const incarnation_row kIncarnationRows[] = {
  { "two messages", { { 7, 1us }, { 7, 2us } }, 20 },
  { "a restart with another clock", { { 7, 9us }, { 3, 1us } }, 20 },
  { "the earlier incarnation's message repeated",
    { { 7, 9us }, { 3, 1us }, { 7, 9us } },
    20 },
  { "both repeated", { { 7, 9us }, { 3, 1us }, { 7, 9us }, { 3, 1us } }, 20 },
  { "an older message of the earlier one",
    { { 7, 9us }, { 3, 1us }, { 7, 8us } },
    20 },
  { "the newer incarnation goes on",
    { { 7, 9us }, { 3, 1us }, { 7, 9us }, { 3, 2us } },
    30 },
};

enum class token_event
{
  kRequire,
  kGrant,
  kSend,
  kRejected,
  kWait,
};

struct send_row
{
  const char* name;
  std::vector<token_event> events;
  bool permits;
  /// Whether its token is returned when the operation ends.
  bool returned;
};

const send_row kSendRows[] = {
  { "no quota", {}, true, false },
  { "no quota, sent", { token_event::kSend }, true, false },
  { "no token yet", { token_event::kRequire }, false, false },
  { "a token", { token_event::kRequire, token_event::kGrant }, true, true },
  { "waited for longer than its token lives",
    { token_event::kRequire, token_event::kGrant, token_event::kWait },
    false,
    true },
  { "a new token after that",
    { token_event::kRequire,
      token_event::kGrant,
      token_event::kWait,
      token_event::kGrant },
    true,
    true },
  { "sent",
    { token_event::kRequire, token_event::kGrant, token_event::kSend },
    false,
    false },
  { "rejected without running",
    { token_event::kRequire,
      token_event::kGrant,
      token_event::kSend,
      token_event::kRejected },
    true,
    true },
  { "a new token for a further attempt",
    { token_event::kRequire,
      token_event::kGrant,
      token_event::kSend,
      token_event::kGrant },
    true,
    true },
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
    (void)buckets.GrantTokens("baker", row.limit, 0, kStart);
    buckets.AddShare(
      "vm", 1, 1us, kBakerPartition, share{ row.accrued }, kStart);
    const auto result =
      buckets.GrantTokens("baker", row.limit, row.wanted, kStart);
    LONGS_EQUAL_TEXT(row.expect, result.count, row.name);
    CHECK_TEXT((result.count == 0) == (result.retryAfter > 0ms), row.name);
  }
}

TEST(tokens, A_share_counts_once)
{
  customer::token_buckets buckets(0ms);
  const customer::quota limit{ 100, 100 };
  buckets.AddShare("vm", 1, 5us, kBakerPartition, share{ 0.1 }, kStart);
  buckets.AddShare("vm", 1, 5us, kBakerPartition, share{ 0.1 }, kStart);
  buckets.AddShare("vm", 1, 4us, kBakerPartition, share{ 0.1 }, kStart);
  LONGS_EQUAL(10, buckets.GrantTokens("baker", limit, 99, kStart).count);
  // The VM has restarted, with another clock.
  buckets.AddShare("vm", 2, 1us, kBakerPartition, share{ 0.1 }, kStart);
  LONGS_EQUAL(10, buckets.GrantTokens("baker", limit, 99, kStart).count);
}

TEST(tokens, Customers_have_separate_buckets)
{
  customer::token_buckets buckets(0ms);
  const customer::quota limit{ 100, 100 };
  buckets.AddShare("vm", 1, 1us, kBakerPartition, share{ 0.1 }, kStart);
  LONGS_EQUAL(10, buckets.GrantTokens("baker", limit, 99, kStart).count);
  LONGS_EQUAL(0, buckets.GrantTokens("baker", limit, 1, kStart).count);
  CHECK(kBakerPartition != kSmithPartition);
  LONGS_EQUAL(0, buckets.GrantTokens("smith", limit, 99, kStart).count);
  buckets.AddShare("vm", 1, 1us, kSmithPartition, share{ 0.1 }, kStart);
  LONGS_EQUAL(10, buckets.GrantTokens("smith", limit, 99, kStart).count);
}

// A message that is late or repeated counts nothing, also if the VM has
// restarted meanwhile.
TEST(tokens, A_share_of_each_incarnation_counts_once)
{
  for (const auto& row : kIncarnationRows) {
    customer::token_buckets buckets(0ms);
    for (const auto& [incarnation, sentAt] : row.messages) {
      buckets.AddShare(
        "vm", incarnation, sentAt, kBakerPartition, share{ 0.1 }, kStart);
    }
    const auto granted =
      buckets.GrantTokens("baker", { 100, 100 }, 99, kStart).count;
    LONGS_EQUAL_TEXT(row.expect, granted, row.name);
  }
}

// The more operations are refused, the later each is told to retry.
TEST(tokens, Refused_operations_are_told_to_retry_in_turn)
{
  customer::token_buckets buckets(0ms);
  const customer::quota limit{ 10, 0 };
  const auto first = buckets.GrantTokens("baker", limit, 5, kStart).retryAfter;
  const auto second = buckets.GrantTokens("baker", limit, 5, kStart).retryAfter;
  CHECK(first == 500ms);
  CHECK(second == 1000ms);
  CHECK(buckets.GrantTokens("baker", limit, 500, kStart).retryAfter == 2000ms);
}

TEST(tokens, Cached_tokens_expire)
{
  customer::token_cache cache;
  cache.Put("baker", 2, kStart);
  cache.Put("baker", 1, kStart + 300ms);
  CHECK(!cache.Take("smith", kStart));
  CHECK(cache.Take("baker", kStart + 100ms) == kStart);
  // The second token of the first batch has expired by now.
  CHECK(cache.Take("baker", kStart + 500ms) == kStart + 300ms);
  CHECK(!cache.Take("baker", kStart + 500ms));
}

// A returned token keeps its age: a round trip does not prolong its life.
TEST(tokens, Returned_tokens_keep_their_age)
{
  customer::token_cache cache;
  cache.Put("baker", 1, kStart + 200ms);
  cache.Put("baker", 1, kStart);
  CHECK(cache.Take("baker", kStart + 250ms) == kStart);
  cache.Put("baker", 1, kStart);
  CHECK(cache.Take("baker", kStart + 400ms) == kStart + 200ms);
  CHECK(!cache.Take("baker", kStart + 400ms));
}

TEST(tokens, A_token_permits_one_send_for_a_short_time)
{
  for (const auto& row : kSendRows) {
    auto now = kStart;
    customer::operation_token token;
    for (const auto event : row.events) {
      switch (event) {
        case token_event::kRequire:
          token.Require();
          break;
        case token_event::kGrant:
          token.Grant(now);
          break;
        case token_event::kSend:
          token.OnSent();
          break;
        case token_event::kRejected:
          token.OnNotRun();
          break;
        case token_event::kWait:
          now += customer::kTokenLifetime;
          break;
      }
    }
    CHECK_TEXT(row.permits == token.PermitsSend(now), row.name);
    CHECK_TEXT(row.returned == token.TakeUnused().has_value(), row.name);
    CHECK_TEXT(!token.TakeUnused(), row.name);
  }
}

namespace {

struct moved_row
{
  const char* name;
  /// Share that arrives each 400 ms, of the rate over that time, and for how
  /// long.
  double part;
  std::chrono::milliseconds received;
  /// How long after the last share tokens are requested.
  std::chrono::milliseconds after;
  /// Of a capacity of 42.
  unsigned most;
};

const moved_row kMovedRows[] = {
  { "the only coordinator", 1.0, 8000ms, 0ms, 42 },
  { "its next share is due", 1.0, 8000ms, 400ms, 42 },
  { "its shares pause for one interval", 1.0, 8000ms, 800ms, 34 },
  { "another one has taken over", 1.0, 8000ms, 2100ms, 8 },
  { "half of the VMs have another one", 0.5, 8000ms, 0ms, 29 },
  { "one VM in ten still sends its share", 0.1, 8000ms, 0ms, 12 },
};

} // namespace

// While coordinators change, several VMs hold buckets of a customer: each with
// its whole capacity, they let 138 operations of 132 allowed pass within 5 s.
TEST(tokens, A_coordinator_saves_in_proportion_to_the_shares_it_gets)
{
  constexpr auto kInterval = 400ms;
  const customer::quota limit{ 100, 100 };
  for (const auto& row : kMovedRows) {
    customer::token_buckets buckets(5s);
    (void)buckets.GrantTokens("baker", limit, 0, kStart);
    auto now = kStart;
    for (auto sent = 1us; now < kStart + row.received; now += kInterval) {
      buckets.AddShare("vm",
                       1,
                       sent++,
                       kBakerPartition,
                       customer::share{ kInterval } * row.part,
                       now);
    }
    const auto granted =
      buckets.GrantTokens("baker", limit, 999, now - kInterval + row.after)
        .count;
    CHECK_TEXT(granted <= row.most && granted + 8 >= row.most, row.name);
  }
}
