#include "currantshed/upstream/pq_connection.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <unistd.h>

#include "currantshed/upstream/errors.hpp"
#include "standin/upstream/server.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed::upstream;
namespace postgres = currantshed::standin::postgres;

namespace {

constexpr std::uint16_t kPort = 21900;
constexpr std::size_t kLargeLimit = 10'000'000;
constexpr std::chrono::seconds kTestTimeout{ 30 };

// A loopback address derived from the process id, so that test programs running
// in parallel do not conflict.
std::string
ProcessAddress()
{
  const auto id = static_cast<unsigned>(getpid());
  return "127." + std::to_string(100 + (id >> 16U) % 100) + '.' +
         std::to_string((id >> 8U) % 256) + '.' + std::to_string(1 + id % 254);
}

postgres::server_settings
Settings()
{
  postgres::server_settings settings;
  settings.id = "a";
  settings.address = ProcessAddress();
  settings.port = kPort;
  settings.connections = 2;
  settings.firstPrimary = "a";
  return settings;
}

// A server and its clients on one event loop.
struct server_fixture
{
  boost::asio::io_context context;
  postgres::server server{ context,
                           Settings(),
                           { "CREATE TABLE t (k TEXT PRIMARY KEY)" } };

  server_fixture() { server.Start(); }

  std::unique_ptr<pq_connection> Make(bool aReadOnly = false)
  {
    return std::make_unique<pq_connection>(
      context,
      endpoint{ ProcessAddress(), kPort, "vm", aReadOnly, kTestTimeout });
  }

  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      context.run_one_until(end);
    }
    CHECK_TRUE(aCondition());
  }

  bool Open(pq_connection& aConnection)
  {
    std::optional<bool> opened;
    aConnection.Open([&opened](bool aOpened) { opened = aOpened; });
    RunUntil([&opened] { return opened.has_value(); });
    return opened.value_or(false);
  }

  reply Run(pq_connection& aConnection,
            const std::vector<statement>& aBatch,
            std::size_t aLimit = kLargeLimit)
  {
    std::optional<reply> answer;
    aConnection.Run(
      aBatch, aLimit, [&answer](reply aReply) { answer = std::move(aReply); });
    RunUntil([&answer] { return answer.has_value(); });
    return answer.value_or(reply{});
  }
};

// 2,000 rows of about 1,000 bytes.
constexpr const char* kManyRows =
  "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE "
  "i < 2000) SELECT i, printf('%1000d', i) FROM n";

struct batch_row
{
  const char* name;
  std::vector<statement> batch;
  std::size_t limit;
  batch_end end;
  const char* sqlState;
  std::size_t results;
  std::size_t lastCells;
};

const batch_row kBatches[] = {
  { "one statement",
    { { "SELECT $1, $2", { "a", std::nullopt } } },
    kLargeLimit,
    batch_end::kComplete,
    "",
    1,
    2 },
  { "several",
    { { "BEGIN", {} },
      { "INSERT INTO t VALUES ($1)", { "a" } },
      { "COMMIT", {} },
      { "SELECT k FROM t", {} } },
    kLargeLimit,
    batch_end::kComplete,
    "",
    4,
    1 },
  { "an error ends the batch",
    { { "SELECT 1", {} }, { "SELEC", {} }, { "SELECT 2", {} } },
    kLargeLimit,
    batch_end::kServerError,
    "42601",
    1,
    1 },
  { "a text that cannot be sent",
    { { "SELECT $1", { std::string("a\0b", 3) } } },
    kLargeLimit,
    batch_end::kServerError,
    "22021",
    0,
    0 },
  { "a large answer",
    { { kManyRows, {} } },
    kLargeLimit,
    batch_end::kComplete,
    "",
    1,
    4'000 },
  { "a large statement",
    { { "SELECT $1", { std::string(5'000'000, 'x') } } },
    kLargeLimit,
    batch_end::kComplete,
    "",
    1,
    1 },
  { "an answer above the limit",
    { { kManyRows, {} } },
    100'000,
    batch_end::kIndeterminate,
    "54000",
    0,
    0 },
};

} // namespace

TEST_GROUP(pq_connection)
{
  server_fixture fixture;
};

TEST(pq_connection, batches)
{
  for (const auto& row : kBatches) {
    auto connection = fixture.Make();
    CHECK_TRUE_TEXT(fixture.Open(*connection), row.name);
    const auto answer = fixture.Run(*connection, row.batch, row.limit);
    CHECK_TEXT(answer.end == row.end, row.name);
    STRCMP_EQUAL_TEXT(row.sqlState, answer.sqlState.c_str(), row.name);
    CHECK_EQUAL_TEXT(row.results, answer.results.size(), row.name);
    if (row.results > 0) {
      CHECK_EQUAL_TEXT(
        row.lastCells, answer.results.back().cells.size(), row.name);
    }
    CHECK_EQUAL_TEXT(
      row.end != batch_end::kIndeterminate, connection->Idle(), row.name);
  }
}

TEST(pq_connection, the_limit_counts_each_batch_by_itself)
{
  auto connection = fixture.Make();
  CHECK_TRUE(fixture.Open(*connection));
  for (int round = 0; round < 5; ++round) {
    CHECK(fixture.Run(*connection, { { kManyRows, {} } }, 3'000'000).end ==
          batch_end::kComplete);
  }
}

TEST(pq_connection, a_read_only_connection_is_refused_changes)
{
  auto connection = fixture.Make(true);
  CHECK_TRUE(fixture.Open(*connection));
  const auto answer = fixture.Run(*connection, { { "DELETE FROM t", {} } });
  STRCMP_EQUAL("25006", answer.sqlState.c_str());
}

TEST(pq_connection, too_many_connections)
{
  auto one = fixture.Make();
  auto two = fixture.Make();
  auto three = fixture.Make();
  CHECK_TRUE(fixture.Open(*one));
  CHECK_TRUE(fixture.Open(*two));
  CHECK_FALSE(fixture.Open(*three));
  CHECK(three->LastError() == errc::kTooManyConnections);
}

TEST(pq_connection, a_lost_connection_ends_the_batch_before_it_is_reported)
{
  auto connection = fixture.Make();
  CHECK_TRUE(fixture.Open(*connection));
  std::string events;
  connection->OnLost([&events] { events += "lost "; });
  postgres::faults cut;
  cut.cutAll = true;
  fixture.server.SetFaults(cut);
  connection->Run(
    { { "SELECT 1", {} } }, kLargeLimit, [&events](const reply& aReply) {
      events += aReply.end == batch_end::kIndeterminate ? "indeterminate "
                                                        : "answered ";
    });
  fixture.server.SetFaults({});
  fixture.RunUntil([&events] { return events.ends_with("lost "); });
  STRCMP_EQUAL("indeterminate lost ", events.c_str());
  CHECK(connection->LastError() == errc::kConnectionLost);
}

TEST(pq_connection, a_batch_on_a_lost_connection_is_indeterminate)
{
  auto connection = fixture.Make();
  CHECK_TRUE(fixture.Open(*connection));
  CHECK(fixture.Run(*connection, { { kManyRows, {} } }, 1).end ==
        batch_end::kIndeterminate);
  CHECK(fixture.Run(*connection, { { "SELECT 1", {} } }).end ==
        batch_end::kIndeterminate);
}

TEST(pq_connection, a_callback_may_destroy_the_connection)
{
  auto connection = fixture.Make();
  CHECK_TRUE(fixture.Open(*connection));
  connection->OnLost([] { FAIL("a destroyed connection invokes a callback"); });
  bool destroyed = false;
  connection->Run({ { kManyRows, {} } }, 1, [&](const reply& /*aReply*/) {
    connection.reset();
    destroyed = true;
  });
  fixture.RunUntil([&destroyed] { return destroyed; });
}
