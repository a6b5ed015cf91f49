#include "currantshed/admit/deadline_queue.hpp"

#include <chrono>
#include <vector>

#include <CppUTest/TestHarness.h>

using currantshed::admit::deadline_queue;
using currantshed::admit::queued_request;
using currantshed::clock::time_point;
using namespace std::chrono_literals;

namespace {

constexpr time_point kStart{ 1h };

// A queue with a measured drain rate of one request per 10 ms.
deadline_queue
MakeMeasuredQueue(std::size_t aLimit)
{
  deadline_queue queue(aLimit);
  const queued_request other{ kStart + 1h, 99, 0.9 };
  queue.Requeue(other);
  for (int i = 0; i <= 200; ++i) {
    queue.Departed(kStart + i * 10ms - 2000ms);
  }
  queue.Remove(other);
  return queue;
}

// Requests offered one after the other at the start, and the result for the
// last one.
struct offer_row
{
  const char* name;
  std::size_t limit;
  std::vector<queued_request> before;
  queued_request last;
  bool admitted;
  std::vector<std::uint64_t> displaced;
};

const offer_row kOfferRows[] = {
  { "alone", 8, {}, { kStart + 5ms, 1, 0.9 }, true, {} },
  { "in time behind one",
    8,
    { { kStart + 10ms, 1, 0.9 } },
    { kStart + 15ms, 2, 0.9 },
    true,
    {} },
  { "too late behind two",
    8,
    { { kStart + 10ms, 1, 0.9 }, { kStart + 15ms, 2, 0.9 } },
    { kStart + 19ms, 3, 0.9 },
    false,
    {} },
  { "too late behind two, of a stricter class: the request that would miss "
    "its deadline is displaced",
    8,
    { { kStart + 10ms, 1, 0.9 }, { kStart + 15ms, 2, 0.9 } },
    { kStart + 19ms, 3, 0.999 },
    true,
    { 1 } },
  { "ahead of one that would then miss its deadline",
    8,
    { { kStart + 9ms, 1, 0.9 } },
    { kStart + 5ms, 2, 0.9 },
    false,
    {} },
  { "the same, the other of a lower objective",
    8,
    { { kStart + 9ms, 1, 0.9 } },
    { kStart + 5ms, 2, 0.999 },
    true,
    { 1 } },
  { "full",
    2,
    { { kStart + 1s, 1, 0.9 }, { kStart + 1s, 2, 0.9 } },
    { kStart + 1s, 3, 0.9 },
    false,
    {} },
  { "full, the last one of a lower objective is displaced",
    2,
    { { kStart + 1s, 1, 0.9 }, { kStart + 2s, 2, 0.9 } },
    { kStart + 1s, 3, 0.999 },
    true,
    { 2 } },
  { "full, the last one of a customer far above its share is displaced",
    2,
    { { kStart + 1s, 1, 0.9, 1 }, { kStart + 1s, 2, 0.9, 3 } },
    { kStart + 1s, 3, 0.9, 1 },
    true,
    { 2 } },
  { "full, a customer of the same round keeps its place",
    2,
    { { kStart + 1s, 1, 0.9, 1 }, { kStart + 1s, 2, 0.9, 1 } },
    { kStart + 1s, 3, 0.9, 1 },
    false,
    {} },
  { "ahead of one of a customer far above its share, that would then miss its "
    "deadline",
    8,
    { { kStart + 9ms, 1, 0.9, 4 } },
    { kStart + 50ms, 2, 0.9, 0 },
    true,
    { 1 } },
  { "a customer far above its share, of a stricter class, is not displaced by "
    "a lower one",
    2,
    { { kStart + 1s, 1, 0.999, 40 }, { kStart + 1s, 2, 0.999, 50 } },
    { kStart + 1s, 3, 0.9, 0 },
    false,
    {} },
};

} // namespace

TEST_GROUP(deadline_queue){};

TEST(deadline_queue, admission)
{
  for (const auto& row : kOfferRows) {
    auto queue = MakeMeasuredQueue(row.limit);
    for (const auto& request : row.before) {
      CHECK_TEXT(queue.TryAdmit(request, kStart).admitted, row.name);
    }
    const auto size = queue.Entries().size();
    const auto result = queue.TryAdmit(row.last, kStart);
    CHECK_TEXT(result.admitted == row.admitted, row.name);
    CHECK_TEXT(result.displaced == row.displaced, row.name);
    const auto expected = size + (row.admitted ? 1 : 0) - row.displaced.size();
    LONGS_EQUAL_TEXT(expected, queue.Entries().size(), row.name);
  }
}

TEST(deadline_queue, an_unmeasured_queue_admits_up_to_its_limit)
{
  deadline_queue queue(3);
  for (std::uint64_t i = 1; i <= 3; ++i) {
    CHECK(queue.TryAdmit({ kStart + 1ms, i, 0.9 }, kStart).admitted);
  }
  CHECK_FALSE(queue.TryAdmit({ kStart + 1ms, 4, 0.9 }, kStart).admitted);
}

TEST(deadline_queue, retry_times_follow_the_drain_rate)
{
  auto queue = MakeMeasuredQueue(100);
  for (std::uint64_t i = 1; i <= 10; ++i) {
    CHECK(queue.TryAdmit({ kStart + 1s, i, 0.9 }, kStart).admitted);
  }
  // Ten requests wait, so the first refused one is told to retry after 110 ms
  // and each next one 10 ms later, plus jitter of up to a half.
  for (int i = 0; i < 20; ++i) {
    const auto earliest = 110ms + i * 10ms;
    const auto retryAfter =
      queue.RetryAfter(static_cast<std::uint64_t>(i), kStart);
    CHECK(retryAfter >= earliest);
    CHECK(retryAfter <= earliest * 3 / 2 + 2ms);
  }
}

// Ten lenient requests wait, or were told when to retry: a strict one goes
// before them, and is told so.
TEST(deadline_queue, retry_times_of_strict_classes_do_not_count_lenient_ones)
{
  for (const bool areWaiting : { true, false }) {
    auto queue = MakeMeasuredQueue(100);
    for (std::uint64_t i = 1; i <= 10; ++i) {
      if (areWaiting) {
        CHECK(queue.TryAdmit({ kStart + 1s, i, 0.5 }, kStart).admitted);
      } else {
        CHECK(queue.RetryAfter(i, kStart, 0.5) > 0ms);
      }
    }
    CHECK(queue.RetryAfter(11, kStart, 0.9) <= 17ms);
    CHECK(queue.RetryAfter(12, kStart, 0.5) >= 110ms);
  }
}

TEST(deadline_queue, a_single_stall_has_little_effect)
{
  auto queue = MakeMeasuredQueue(100);
  const queued_request other{ kStart + 1h, 99, 0.9 };
  queue.Requeue(other);
  queue.Departed(kStart + 5s);
  queue.Remove(other);
  CHECK(queue.RetryAfter(1, kStart + 5s) <= 20ms);
}
