#include "currantshed/group/status_poller.hpp"

#include <chrono>

#include <CppUTest/TestHarness.h>

using currantshed::clock::time_point;
using currantshed::group::engine_settings;
using currantshed::group::poll_demand;
using currantshed::group::status_poller;
using namespace std::chrono_literals;

namespace {

constexpr time_point kStart{ 1h };

enum class end
{
  kNone,
  kAnswered,
  kFailed,
};

// A status request is sent at the start and ends at 5 ms; the time of the next
// one depends on the load.
struct due_row
{
  const char* name;
  end ended;
  poll_demand asked;
  bool wanted;
  std::chrono::microseconds due;
};

constexpr poll_demand kNobody{ false, 1 };
constexpr poll_demand kOneAlone{ true, 1 };

constexpr due_row kDueRows[] = {
  { "answered, no request waits", end::kAnswered, kNobody, false, 50ms },
  { "answered, a single request waits",
    end::kAnswered,
    kOneAlone,
    false,
    100us },
  { "answered, one of ten requests waits",
    end::kAnswered,
    { true, 10 },
    false,
    250us },
  { "answered, one of many requests waits",
    end::kAnswered,
    { true, 100000 },
    false,
    1ms },
  { "answered, but sent too early for a batch",
    end::kAnswered,
    kNobody,
    true,
    100us },
  { "in flight, a request waits", end::kNone, kOneAlone, true, 150ms },
  { "failed, a request waits", end::kFailed, kOneAlone, true, 50ms },
};

} // namespace

TEST_GROUP(status_poller){};

TEST(status_poller, next_status_request)
{
  for (const auto& row : kDueRows) {
    status_poller poller{ engine_settings{} };
    poller.SetMembers({ "s1" });
    LONGS_EQUAL_TEXT(1, poller.TakeDue(kNobody, kStart).size(), row.name);
    if (row.wanted) {
      poller.RequireStatusSince(kStart + 2ms);
    }
    if (row.ended == end::kAnswered) {
      poller.Answered("s1");
    } else if (row.ended == end::kFailed) {
      poller.Failed("s1");
    }
    CHECK_TEXT(poller.NextDue(row.asked) == kStart + row.due, row.name);
    const auto before = kStart + row.due - 1us;
    LONGS_EQUAL_TEXT(0, poller.TakeDue(row.asked, before).size(), row.name);
    LONGS_EQUAL_TEXT(
      1, poller.TakeDue(row.asked, kStart + row.due).size(), row.name);
  }
}
