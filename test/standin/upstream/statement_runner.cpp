#include "standin/upstream/statement_runner.hpp"

#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace currantshed::standin::postgres;

namespace {

struct quiet_listener final : public store_listener
{
  void Appended() override {}
  void TermsChanged() override {}
};

// A primary of term 1 with connections to it.
struct primary
{
  boost::asio::io_context context;
  durable_state state;
  journal file{ "", state };
  quiet_listener listener;
  store data{ std::move(state), file, listener };
  permits slots{ 2 };
  permits writeLock{ 1 };
  shared_parts shared{ data, slots, writeLock, std::chrono::microseconds(0) };

  primary()
  {
    data.StartAsFirstPrimary({ "CREATE TABLE t (k TEXT PRIMARY KEY)" });
  }
};

struct connection
{
  explicit connection(primary& aServer)
    : runner(aServer.shared, aServer.context.get_executor(), [this] {
      resumed = true;
    })
  {
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection() { runner.Close(); }

  bool resumed = false;
  statement_runner runner;
};

// The result of one statement: ok, wait, or an SQLSTATE.
std::string
Run(connection& aConnection, const std::string& aSql)
{
  std::string answer;
  switch (aConnection.runner.Run({ aSql, {} }, answer)) {
    case run_end::kDone:
      return "ok";
    case run_end::kWait:
      return "wait";
    default:
      return aConnection.runner.Error().state;
  }
}

struct step_row
{
  const char* sql;
  const char* end;
};

struct scenario_row
{
  const char* name;
  bool readOnly;
  std::vector<step_row> steps;
  char status;
};

const scenario_row kScenarios[] = {
  { "commit",
    false,
    { { "BEGIN", "ok" },
      { "INSERT INTO t VALUES ('a')", "ok" },
      { "COMMIT", "ok" } },
    'I' },
  { "an error fails the transaction",
    false,
    { { "BEGIN", "ok" },
      { "INSERT INTO nope VALUES ('a')", "42P01" },
      { "SELECT 1", "25P02" } },
    'E' },
  { "the end of a failed transaction",
    false,
    { { "BEGIN", "ok" }, { "SELEC", "42601" }, { "COMMIT", "ok" } },
    'I' },
  { "a read-only transaction changes nothing",
    false,
    { { "BEGIN READ ONLY", "ok" },
      { "SELECT * FROM t", "ok" },
      { "DELETE FROM t", "25006" } },
    'E' },
  { "nor does a read-only connection",
    true,
    { { "INSERT INTO t VALUES ('a')", "25006" } },
    'I' },
  { "a statement by itself opens a transaction until the sync",
    false,
    { { "INSERT INTO t VALUES ('a')", "ok" } },
    'T' },
  { "a status in a failed transaction",
    false,
    { { "BEGIN", "ok" },
      { "SELEC", "42601" },
      { "SELECT * FROM currantshed_status", "ok" } },
    'E' },
  { "no transaction in a transaction",
    false,
    { { "BEGIN", "ok" }, { "BEGIN", "25001" } },
    'E' },
  { "nothing that replays differently",
    false,
    { { "INSERT INTO t VALUES (random())", "42501" } },
    'I' },
  { "a refused fence fails the transaction",
    false,
    { { "BEGIN", "ok" },
      { "INSERT INTO t VALUES ('a')", "ok" },
      { "SELECT * FROM currantshed_fence($1)", "CS001" } },
    'E' },
};

} // namespace

TEST_GROUP(statement_runner)
{
  primary server;
};

TEST(statement_runner, scenarios)
{
  for (const auto& row : kScenarios) {
    primary fresh;
    connection one(fresh);
    if (row.readOnly) {
      one.runner.SetReadOnly();
    }
    for (const auto& step : row.steps) {
      STRCMP_EQUAL_TEXT(step.end, Run(one, step.sql).c_str(), row.name);
    }
    BYTES_EQUAL_TEXT(row.status, one.runner.TransactionStatus(), row.name);
  }
}

TEST(statement_runner, a_second_writer_waits_and_the_key_decides)
{
  connection one(server);
  connection two(server);
  STRCMP_EQUAL("ok", Run(one, "BEGIN").c_str());
  STRCMP_EQUAL("ok", Run(one, "INSERT INTO t VALUES ('a')").c_str());
  STRCMP_EQUAL("ok", Run(two, "BEGIN").c_str());
  STRCMP_EQUAL("wait", Run(two, "INSERT INTO t VALUES ('a')").c_str());
  CHECK_FALSE(two.resumed);
  STRCMP_EQUAL("ok", Run(one, "COMMIT").c_str());
  CHECK_TRUE(two.resumed);
  STRCMP_EQUAL("23505", Run(two, "INSERT INTO t VALUES ('a')").c_str());
}

TEST(statement_runner, readers_wait_for_nobody)
{
  connection one(server);
  connection two(server);
  STRCMP_EQUAL("ok", Run(one, "BEGIN").c_str());
  STRCMP_EQUAL("ok", Run(one, "INSERT INTO t VALUES ('a')").c_str());
  STRCMP_EQUAL("ok", Run(two, "SELECT * FROM t").c_str());
  STRCMP_EQUAL("ok", Run(two, "SELECT * FROM currantshed_status").c_str());
}

TEST(statement_runner, a_connection_that_closes_gives_the_lock_back)
{
  connection two(server);
  {
    connection one(server);
    STRCMP_EQUAL("ok", Run(one, "BEGIN").c_str());
    STRCMP_EQUAL("ok", Run(one, "INSERT INTO t VALUES ('a')").c_str());
    STRCMP_EQUAL("wait", Run(two, "INSERT INTO t VALUES ('b')").c_str());
  }
  CHECK_TRUE(two.resumed);
  STRCMP_EQUAL("ok", Run(two, "INSERT INTO t VALUES ('b')").c_str());
  CHECK_FALSE(two.runner.Sync().has_value());
  CHECK((server.data.Log().Last() == log_position{ 1, 2 }));
}

TEST(statement_runner, nothing_of_a_lower_term_commits_after_a_fence)
{
  connection one(server);
  connection two(server);
  connection three(server);
  STRCMP_EQUAL("ok", Run(one, "BEGIN").c_str());
  STRCMP_EQUAL("ok", Run(one, "INSERT INTO t VALUES ('a')").c_str());
  STRCMP_EQUAL("ok", Run(two, "BEGIN").c_str());
  STRCMP_EQUAL("wait", Run(two, "INSERT INTO t VALUES ('b')").c_str());
  STRCMP_EQUAL("ok", Run(three, "BEGIN").c_str());
  CHECK_FALSE(server.data.Fence(2).has_value());
  CHECK_FALSE(server.data.Promote(2).has_value());
  STRCMP_EQUAL("CS001", Run(one, "COMMIT").c_str());
  STRCMP_EQUAL("CS001", Run(two, "INSERT INTO t VALUES ('b')").c_str());
  STRCMP_EQUAL("CS001", Run(three, "INSERT INTO t VALUES ('c')").c_str());
  CHECK((server.data.Log().Last() == log_position{ 2, 2 }));
  STRCMP_EQUAL("ok", Run(one, "BEGIN").c_str());
  STRCMP_EQUAL("ok", Run(one, "INSERT INTO t VALUES ('a')").c_str());
  STRCMP_EQUAL("ok", Run(one, "COMMIT").c_str());
  CHECK((server.data.Log().Last() == log_position{ 2, 3 }));
}

TEST(statement_runner,
     an_implicit_change_revoked_by_a_fence_is_told_at_the_sync)
{
  connection one(server);
  STRCMP_EQUAL("ok", Run(one, "INSERT INTO t VALUES ('a')").c_str());
  CHECK_FALSE(server.data.Fence(2).has_value());
  const auto error = one.runner.Sync();
  CHECK(error.has_value());
  STRCMP_EQUAL("CS001", error->state.c_str());
  BYTES_EQUAL('I', one.runner.TransactionStatus());
}
