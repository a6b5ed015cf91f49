#include "currantshed/admit/deadline_queue.hpp"

#include <chrono>
#include <vector>

#include <CppUTest/TestHarness.h>

using currantshed::admit::deadline_queue;
using currantshed::admit::waiting;
using currantshed::clock::time_point;
using namespace std::chrono_literals;

namespace {

constexpr time_point kStart{ 1h };

// A queue that was seen to drain one request each 10 ms.
deadline_queue
Measured(std::size_t aLimit)
{
  deadline_queue queue(aLimit);
  const waiting other{ kStart + 1h, 99, 0.9 };
  queue.Requeue(other);
  for (int i = 0; i <= 200; ++i) {
    queue.Departed(kStart + i * 10ms - 2000ms);
  }
  queue.Remove(other);
  return queue;
}

// Requests that ask one after the other at the start; the last one's fate.
struct offer_row
{
  const char* name;
  std::size_t limit;
  std::vector<waiting> before;
  waiting last;
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
  { "too late behind two, of a stricter class: the one that it makes late "
    "gives way",
    8,
    { { kStart + 10ms, 1, 0.9 }, { kStart + 15ms, 2, 0.9 } },
    { kStart + 19ms, 3, 0.999 },
    true,
    { 1 } },
  { "ahead of one that would then be late",
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
  { "full, the last of a lower objective gives way",
    2,
    { { kStart + 1s, 1, 0.9 }, { kStart + 2s, 2, 0.9 } },
    { kStart + 1s, 3, 0.999 },
    true,
    { 2 } },
};

} // namespace

TEST_GROUP(deadline_queue){};

TEST(deadline_queue, admission)
{
  for (const auto& row : kOfferRows) {
    auto queue = Measured(row.limit);
    for (const auto& request : row.before) {
      CHECK_TEXT(queue.TryAdmit(request, kStart).admitted, row.name);
    }
    const auto size = queue.Entries().size();
    const auto made = queue.TryAdmit(row.last, kStart);
    CHECK_TEXT(made.admitted == row.admitted, row.name);
    CHECK_TEXT(made.displaced == row.displaced, row.name);
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

TEST(deadline_queue, times_to_come_back_follow_the_drain_rate)
{
  auto queue = Measured(100);
  for (std::uint64_t i = 1; i <= 10; ++i) {
    CHECK(queue.TryAdmit({ kStart + 1s, i, 0.9 }, kStart).admitted);
  }
  // Ten wait, so the first refused one finds room after 110 ms, the next
  // after 120 ms, each lengthened by up to a half.
  for (int i = 0; i < 20; ++i) {
    const auto earliest = 110ms + i * 10ms;
    const auto told = queue.RetryAfter(static_cast<std::uint64_t>(i), kStart);
    CHECK(told >= earliest);
    CHECK(told <= earliest * 3 / 2 + 2ms);
  }
}

TEST(deadline_queue, a_single_stall_counts_for_little)
{
  auto queue = Measured(100);
  const waiting other{ kStart + 1h, 99, 0.9 };
  queue.Requeue(other);
  queue.Departed(kStart + 5s);
  queue.Remove(other);
  CHECK(queue.RetryAfter(1, kStart + 5s) <= 20ms);
}
