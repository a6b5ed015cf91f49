#include "currantshed/node/request_throttle.hpp"

#include <chrono>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using node::request_throttle;

namespace {

const clock::time_point kStart{ 1h };

struct row
{
  const char* name;
  /// Interval between notifications, and time from a request to its response;
  /// nullopt if no response arrives.
  std::chrono::milliseconds interval;
  std::optional<std::chrono::milliseconds> response;
  /// Expected number of requests in one second.
  int requests;
};

constexpr row kRows[] = {
  { "rare notifications, a request for each", 100ms, 5ms, 10 },
  { "many notifications, fast responses", 1ms, 5ms, 50 },
  { "many notifications, slow responses: one request at a time",
    1ms,
    200ms,
    5 },
  { "lost responses", 1ms, std::nullopt, 4 },
};

int
RequestsOf(const row& aRow)
{
  request_throttle throttle;
  int requests = 0;
  std::optional<clock::time_point> responseAt;
  for (auto at = 0ms; at < 1000ms; at += 1ms) {
    const auto now = kStart + at;
    if (responseAt && now >= *responseAt) {
      throttle.OnResponse();
      responseAt.reset();
    }
    if (at % aRow.interval == 0ms && throttle.MayRequest(now)) {
      throttle.OnRequestSent(now);
      ++requests;
      if (aRow.response) {
        responseAt = now + *aRow.response;
      }
    }
  }
  return requests;
}

} // namespace

TEST_GROUP(request_throttle){};

TEST(request_throttle, no_request_while_one_is_in_flight)
{
  for (const auto& row : kRows) {
    CHECK_EQUAL_TEXT(row.requests, RequestsOf(row), row.name);
  }
}
