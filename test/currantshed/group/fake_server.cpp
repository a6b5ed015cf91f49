#include "test/currantshed/group/fake_server.hpp"

#include <algorithm>
#include <utility>

namespace currantshed::test {

namespace {

using upstream::batch_end;
using upstream::result_set;
using upstream::server_role;

constexpr std::string_view kStatusSql = "SELECT * FROM currantshed_status";
constexpr std::string_view kFailState = "22012";
constexpr std::string_view kAborted = "25P02";

std::string
RoleName(server_role aRole)
{
  switch (aRole) {
    case server_role::kPrimary:
      return "primary";
    case server_role::kFenced:
      return "fenced";
    case server_role::kReplica:
      break;
  }
  return "replica";
}

result_set
StatusRow(const fake_server& aServer)
{
  const auto stored = aServer.Stored();
  const auto applied = aServer.Applied();
  result_set row;
  row.columns = {
    "term",         "role",          "stored_term",     "stored_index",
    "applied_term", "applied_index", "since_primary_ms"
  };
  row.cells = { std::to_string(aServer.term),
                RoleName(aServer.role),
                std::to_string(stored.term),
                std::to_string(stored.index),
                std::to_string(applied.term),
                std::to_string(applied.index),
                std::nullopt };
  return row;
}

position::log_position
PositionAt(const std::vector<fake_record>& aLog, std::size_t aCount)
{
  if (aCount == 0) {
    return {};
  }
  return { aLog[aCount - 1].term, aCount };
}

const fake_record*
FindKey(const std::vector<fake_record>& aLog,
        std::size_t aCount,
        const std::string& aKey)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    if (aLog[i].key == aKey) {
      return &aLog[i];
    }
  }
  return nullptr;
}

bool
IsOwnStatement(const std::string& aSql)
{
  return aSql.find("currantshed_") != std::string::npos || aSql == "COMMIT" ||
         aSql == "ROLLBACK" || aSql.starts_with("BEGIN");
}

std::string
Commit(fake_server& aServer, fake_connection& aConnection)
{
  auto transaction = std::exchange(aConnection.transaction, std::nullopt);
  if (!transaction || !transaction->changed) {
    return {};
  }
  if (aServer.role != server_role::kPrimary ||
      aServer.term != transaction->term) {
    return std::string{ upstream::kStaleTermSqlState };
  }
  transaction->record.term = aServer.term;
  aServer.log.push_back(std::move(transaction->record));
  aServer.applied = aServer.log.size();
  return {};
}

result_set
List(const fake_server& aServer, const fake_connection& aConnection)
{
  const auto& transaction = aConnection.transaction;
  auto count = aServer.applied;
  if (transaction && transaction->visibleRecords) {
    count = *transaction->visibleRecords;
  }
  result_set rows;
  rows.columns = { "value" };
  for (std::size_t i = 0; i < count; ++i) {
    for (const auto& value : aServer.log[i].values) {
      rows.cells.emplace_back(value);
    }
  }
  if (transaction) {
    for (const auto& value : transaction->record.values) {
      rows.cells.emplace_back(value);
    }
  }
  return rows;
}

std::optional<result_set>
RunStatement(fake_server& aServer,
             fake_connection& aConnection,
             const upstream::statement& aStatement,
             std::string& aSqlState)
{
  auto& transaction = aConnection.transaction;
  const auto& sql = aStatement.sql;
  if (sql == "ROLLBACK") {
    transaction.reset();
    return result_set{};
  }
  if (transaction && transaction->failed) {
    aSqlState = kAborted;
    return std::nullopt;
  }
  if (sql == kStatusSql) {
    if (transaction && transaction->readOnly && !transaction->visibleRecords) {
      transaction->visibleRecords = aServer.applied;
    }
    return StatusRow(aServer);
  }
  if (sql.starts_with("BEGIN")) {
    transaction.emplace();
    transaction->readOnly = sql != "BEGIN";
    transaction->term = aServer.term;
    return result_set{};
  }
  if (sql == "COMMIT") {
    aSqlState = Commit(aServer, aConnection);
    return aSqlState.empty() ? std::optional{ result_set{} } : std::nullopt;
  }
  if (sql.starts_with("SELECT state, digest")) {
    const auto& key = *aStatement.parameters[0];
    const auto* record = FindKey(aServer.log, aServer.applied, key);
    if (record == nullptr && transaction && transaction->record.key == key) {
      record = &transaction->record;
    }
    result_set row;
    row.columns = { "state", "digest" };
    if (record != nullptr) {
      row.cells = { record->state, record->digest };
    }
    return row;
  }
  if (sql == "list") {
    aServer.executed.push_back(sql);
    return List(aServer, aConnection);
  }
  const auto takesChange = aServer.role == server_role::kPrimary &&
                           !aConnection.readOnly && transaction &&
                           !transaction->readOnly;
  if (!takesChange) {
    aSqlState = upstream::kReadOnlySqlState;
    return std::nullopt;
  }
  if (sql.starts_with("INSERT INTO currantshed_outcome")) {
    const auto isVoid = sql.find("'void'") != std::string::npos;
    const auto& key = *aStatement.parameters[0];
    if (FindKey(aServer.log, aServer.log.size(), key) != nullptr) {
      aSqlState = upstream::kUniqueViolationSqlState;
      return isVoid ? std::optional{ result_set{} } : std::nullopt;
    }
    transaction->changed = true;
    transaction->record.key = key;
    transaction->record.state = isVoid ? "void" : "done";
    transaction->record.digest = *aStatement.parameters[2];
    return result_set{ {}, {}, 1 };
  }
  aServer.executed.push_back(sql);
  if (sql == "fail") {
    aSqlState = kFailState;
    return std::nullopt;
  }
  transaction->changed = true;
  transaction->record.values.push_back(sql.substr(sql.find(' ') + 1));
  return result_set{ {}, {}, 1 };
}

} // namespace

position::log_position
fake_server::Stored() const
{
  return PositionAt(log, log.size());
}

position::log_position
fake_server::Applied() const
{
  return PositionAt(log, applied);
}

upstream::server_status
fake_server::Status() const
{
  return { term, role, Stored(), Applied(), std::nullopt };
}

upstream::reply
RunOn(fake_server& aServer,
      fake_connection& aConnection,
      const std::vector<upstream::statement>& aStatements)
{
  upstream::reply reply;
  for (const auto& statement : aStatements) {
    std::string sqlState;
    auto result = RunStatement(aServer, aConnection, statement, sqlState);
    if (!result) {
      reply.end = batch_end::kServerError;
      reply.sqlState = sqlState;
      if (aConnection.transaction) {
        aConnection.transaction->failed = true;
      }
      return reply;
    }
    reply.results.push_back(std::move(*result));
  }
  return reply;
}

bool
IsCallersBatch(const std::vector<upstream::statement>& aStatements)
{
  return std::any_of(aStatements.begin(),
                     aStatements.end(),
                     [](const upstream::statement& aStatement) {
                       return !IsOwnStatement(aStatement.sql) ||
                              aStatement.sql == "COMMIT";
                     });
}

} // namespace currantshed::test
