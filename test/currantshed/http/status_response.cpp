#include "currantshed/http/status_response.hpp"

#include <prometheus/counter.h>

#include <CppUTest/TestHarness.h>

using namespace currantshed;

namespace {

struct fixed_source : http::status_source
{
  bool isReady = true;
  [[nodiscard]] bool Ready() const override { return isReady; }
  [[nodiscard]] std::string StatusJson() const override { return "{}"; }
};

struct response_row
{
  const char* name;
  bool isRead;
  const char* target;
  bool isReady;
  unsigned status;
  const char* body;
};

constexpr response_row kRows[] = {
  { "live", true, "/livez", false, 200, "ok\n" },
  { "ready", true, "/readyz", true, 200, "ready\n" },
  { "not ready", true, "/readyz", false, 503, "not ready\n" },
  { "status", true, "/status?pretty", true, 200, "{}" },
  { "unknown",
    true,
    "/",
    true,
    404,
    "no such path; there are /metrics, /livez, /readyz and /status\n" },
  { "a write", false, "/status", true, 405, "only GET and HEAD\n" },
  { "metrics",
    true,
    "/metrics",
    true,
    200,
    "# HELP x_total things\n# TYPE x_total counter\nx_total 3\n" },
};

} // namespace

TEST_GROUP(status_response){};

TEST(status_response, table)
{
  prometheus::Registry metrics;
  prometheus::BuildCounter()
    .Name("x_total")
    .Help("things")
    .Register(metrics)
    .Add({})
    .Increment(3);
  for (const auto& row : kRows) {
    fixed_source source;
    source.isReady = row.isReady;
    const auto answer =
      http::HandleStatusRequest(row.isRead, row.target, metrics, source);
    LONGS_EQUAL_TEXT(row.status, answer.status, row.name);
    STRCMP_EQUAL_TEXT(row.body, answer.body.c_str(), row.name);
  }
}
