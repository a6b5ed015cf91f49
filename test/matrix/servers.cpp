#include "test/matrix/servers.hpp"

#include <algorithm>
#include <chrono>

namespace currantshed::matrix {

namespace {

using std::chrono::milliseconds;
using test::fake_record;
using upstream::batch_end;
using upstream::result_set;
using upstream::server_role;

constexpr milliseconds kReplicationInterval{ 5 };
constexpr std::chrono::microseconds kReplicationDelay{ 300 };
constexpr std::string_view kAborted = "25P02";
constexpr unsigned kSlots = 4;
constexpr unsigned kConnections = 48;

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
StatusRow(const upstream::server_status& aStatus)
{
  result_set row;
  row.columns = {
    "term",         "role",          "stored_term",     "stored_index",
    "applied_term", "applied_index", "since_primary_ms"
  };
  row.cells = { std::to_string(aStatus.term),
                RoleName(aStatus.role),
                std::to_string(aStatus.stored.term),
                std::to_string(aStatus.stored.index),
                std::to_string(aStatus.applied.term),
                std::to_string(aStatus.applied.index),
                std::nullopt };
  return row;
}

const fake_record*
FindKey(const std::vector<fake_record>& aLog,
        std::size_t aCount,
        const std::string& aKey)
{
  for (std::size_t at = 0; at < aCount; ++at) {
    if (aLog[at].key == aKey) {
      return &aLog[at];
    }
  }
  return nullptr;
}

result_set
List(const server& aServer, const server_session& aSession)
{
  const auto& transaction = aSession.transaction;
  const bool fixed = transaction && transaction->visibleRecords;
  const auto count = fixed ? *transaction->visibleRecords : aServer.applied;
  result_set rows;
  rows.columns = { "value" };
  for (std::size_t at = 0; at < count; ++at) {
    for (const auto& value : aServer.log[at].values) {
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

} // namespace

server_group::server_group(timeline& aTimeline, history& aSeen)
  : mTimeline(aTimeline)
  , mSeen(aSeen)
  , mDialect(upstream::MakePostgresDialect())
{
  mDescription.name = "claimsbook-1";
  for (const char* number : { "1", "2", "3" }) {
    group::member member;
    member.id = std::string("s") + number;
    member.failureDomain = std::string("d") + number;
    member.slots = kSlots;
    member.connections = kConnections;
    mDescription.members.push_back(member);
    server made;
    made.following = "s1";
    made.log.push_back({ 1 });
    made.applied = 1;
    made.lastContactAt = mTimeline.Now();
    mServers[member.id] = std::move(made);
  }
  mServers.at("s1").role = server_role::kPrimary;
  mSeen.promotions.push_back({ 1, "s1", instant(0) });
  Replicate();
}

server&
server_group::At(const upstream::server_id& aServer)
{
  return mServers.at(aServer);
}

const group::description&
server_group::Description() const noexcept
{
  return mDescription;
}

void
server_group::SetLeaving(const upstream::server_id& aServer,
                         clock::duration aGrace)
{
  for (auto& member : mDescription.members) {
    if (member.id == aServer && !member.leaving) {
      member.leaving = true;
      const auto grace = std::chrono::duration_cast<instant>(aGrace);
      mSeen.leaving.push_back({ aServer, mTimeline.Since() + grace });
    }
  }
}

server*
server_group::Primary()
{
  server* latest = nullptr;
  for (auto& [id, candidate] : mServers) {
    const bool leads =
      candidate.alive && candidate.role == server_role::kPrimary;
    if (leads && (latest == nullptr || candidate.term > latest->term)) {
      latest = &candidate;
    }
  }
  return latest;
}

upstream::server_id
server_group::PrimaryId()
{
  const auto* primary = Primary();
  for (const auto& [id, candidate] : mServers) {
    if (&candidate == primary) {
      return id;
    }
  }
  return "s1";
}

upstream::server_id
server_group::ReplicaId()
{
  return PrimaryId() == "s2" ? "s3" : "s2";
}

std::vector<upstream::server_id>
server_group::Ids() const
{
  std::vector<upstream::server_id> ids;
  for (const auto& [id, held] : mServers) {
    ids.push_back(id);
  }
  return ids;
}

upstream::server_status
server_group::Status(const upstream::server_id& aServer)
{
  const auto& asked = mServers.at(aServer);
  upstream::server_status status;
  status.term = asked.term;
  status.role = asked.role;
  status.stored = asked.Stored();
  status.applied = asked.Applied();
  if (asked.role == server_role::kReplica && !asked.following.empty()) {
    status.sincePrimary = std::chrono::duration_cast<milliseconds>(
      mTimeline.Now() - asked.lastContactAt);
  }
  return status;
}

bool
server_group::Fence(const upstream::server_id& aServer, position::term_id aTerm)
{
  auto& fenced = mServers.at(aServer);
  if (aTerm <= fenced.term) {
    return false;
  }
  fenced.term = aTerm;
  fenced.role = server_role::kFenced;
  fenced.following.clear();
  return true;
}

bool
server_group::Promote(const upstream::server_id& aServer,
                      position::term_id aTerm)
{
  auto& raised = mServers.at(aServer);
  if (raised.term != aTerm || raised.role != server_role::kFenced) {
    return false;
  }
  raised.role = server_role::kPrimary;
  raised.log.push_back({ aTerm });
  raised.applied = raised.log.size();
  mSeen.promotions.push_back({ aTerm, aServer, mTimeline.Since() });
  return true;
}

bool
server_group::Follow(const upstream::server_id& aServer,
                     position::term_id aTerm,
                     const upstream::server_id& aPrimary)
{
  auto& joined = mServers.at(aServer);
  const bool leads =
    joined.term == aTerm && joined.role == server_role::kPrimary;
  if (aTerm < joined.term || leads) {
    return false;
  }
  joined.term = aTerm;
  joined.role = server_role::kReplica;
  joined.following = aPrimary;
  joined.lastContactAt = mTimeline.Now();
  return true;
}

upstream::reply
server_group::Run(server_session& aSession,
                  const std::vector<upstream::statement>& aStatements)
{
  upstream::reply reply;
  for (const auto& statement : aStatements) {
    std::string sqlState;
    auto result = RunOne(aSession, statement, sqlState);
    if (!result) {
      reply.end = batch_end::kServerError;
      reply.sqlState = sqlState;
      if (aSession.transaction) {
        aSession.transaction->failed = true;
      }
      return reply;
    }
    reply.results.push_back(std::move(*result));
  }
  return reply;
}

std::optional<result_set>
server_group::RunOne(server_session& aSession,
                     const upstream::statement& aStatement,
                     std::string& aSqlState)
{
  auto& target = mServers.at(aSession.server);
  auto& transaction = aSession.transaction;
  const auto& sql = aStatement.sql;
  if (sql == "ROLLBACK") {
    transaction.reset();
    return result_set{};
  }
  if (transaction && transaction->failed) {
    aSqlState = kAborted;
    return std::nullopt;
  }
  if (sql == mDialect->Status().sql) {
    if (transaction && transaction->readOnly && !transaction->visibleRecords) {
      transaction->visibleRecords = target.applied;
    }
    return StatusRow(Status(aSession.server));
  }
  if (sql.starts_with("BEGIN")) {
    mSeen.work.push_back({ aSession.server, mTimeline.Since() });
    transaction.emplace();
    transaction->readOnly = sql != "BEGIN";
    transaction->term = target.term;
    return result_set{};
  }
  if (sql == "COMMIT") {
    aSqlState = Commit(aSession);
    return aSqlState.empty() ? std::optional{ result_set{} } : std::nullopt;
  }
  if (sql.starts_with("SELECT state, digest")) {
    const auto& key = *aStatement.parameters[0];
    const auto* record = FindKey(target.log, target.applied, key);
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
  if (sql.starts_with("echo ")) {
    return result_set{ { "echo" }, { sql.substr(sql.find(' ') + 1) }, 0 };
  }
  if (sql == "list") {
    if (!transaction) {
      mSeen.work.push_back({ aSession.server, mTimeline.Since() });
    }
    return List(target, aSession);
  }
  return Change(aSession, aStatement, aSqlState);
}

std::optional<result_set>
server_group::Change(server_session& aSession,
                     const upstream::statement& aStatement,
                     std::string& aSqlState)
{
  auto& target = mServers.at(aSession.server);
  auto& transaction = aSession.transaction;
  const auto& sql = aStatement.sql;
  const bool taken = target.role == server_role::kPrimary &&
                     !aSession.readOnly && transaction &&
                     !transaction->readOnly;
  if (!taken) {
    aSqlState = upstream::kReadOnlySqlState;
    return std::nullopt;
  }
  auto& record = transaction->record;
  transaction->changed = true;
  if (!sql.starts_with("INSERT INTO currantshed_outcome")) {
    record.values.push_back(sql.substr(sql.find(' ') + 1));
    return result_set{ {}, {}, 1 };
  }
  const bool isVoid = sql.find("'void'") != std::string::npos;
  const auto& key = *aStatement.parameters[0];
  if (FindKey(target.log, target.log.size(), key) != nullptr) {
    aSqlState = upstream::kUniqueViolationSqlState;
    return isVoid ? std::optional{ result_set{} } : std::nullopt;
  }
  record.key = key;
  record.state = isVoid ? "void" : "done";
  record.digest = *aStatement.parameters[2];
  return result_set{ {}, {}, 1 };
}

// The unique key is checked again, since another transaction may have committed
// it in the meantime; PostgreSQL blocks the later insert instead.
std::string
server_group::Commit(server_session& aSession)
{
  auto& target = mServers.at(aSession.server);
  auto transaction = std::exchange(aSession.transaction, std::nullopt);
  const bool changes =
    transaction && transaction->changed &&
    (!transaction->record.key.empty() || !transaction->record.values.empty());
  if (!changes) {
    return {};
  }
  if (target.role != server_role::kPrimary ||
      target.term != transaction->term) {
    return std::string{ upstream::kStaleTermSqlState };
  }
  const auto& key = transaction->record.key;
  if (!key.empty() && FindKey(target.log, target.log.size(), key) != nullptr) {
    return std::string{ upstream::kUniqueViolationSqlState };
  }
  transaction->record.term = target.term;
  target.log.push_back(std::move(transaction->record));
  target.applied = target.log.size();
  mTimeline.In(kReplicationDelay,
               [this, id = aSession.server] { Replicate(id); });
  return {};
}

void
server_group::Replicate()
{
  for (const auto& [id, candidate] : mServers) {
    Replicate(id);
  }
  mTimeline.In(kReplicationInterval, [this] { Replicate(); });
}

void
server_group::Replicate(const upstream::server_id& aPrimary)
{
  const auto& primary = mServers.at(aPrimary);
  const bool leads =
    primary.alive && !primary.frozen && primary.role == server_role::kPrimary;
  if (!leads) {
    return;
  }
  for (auto& [id, replica] : mServers) {
    const bool follows = replica.role == server_role::kReplica &&
                         replica.following == aPrimary &&
                         replica.term == primary.term;
    if (!follows || !replica.alive || replica.frozen || !Linked(id, aPrimary)) {
      continue;
    }
    replica.lastContactAt = mTimeline.Now();
    if (!replica.lagging) {
      CopyLog(primary, replica);
    }
  }
}

// Equal terms at one index imply equal logs up to that index.
void
server_group::CopyLog(const server& aPrimary, server& aReplica) const
{
  auto common = std::min(aPrimary.log.size(), aReplica.log.size());
  while (common > 0 &&
         aPrimary.log[common - 1].term != aReplica.log[common - 1].term) {
    --common;
  }
  aReplica.log.resize(common);
  const auto from = static_cast<std::ptrdiff_t>(common);
  aReplica.log.insert(
    aReplica.log.end(), aPrimary.log.begin() + from, aPrimary.log.end());
  aReplica.applied = aReplica.applyPaused
                       ? std::min(aReplica.applied, aReplica.log.size())
                       : aReplica.log.size();
}

void
server_group::Cut(const std::string& aLeft, const std::string& aRight)
{
  mCuts.insert(std::minmax(aLeft, aRight));
}

void
server_group::Heal(const std::string& aLeft, const std::string& aRight)
{
  mCuts.erase(std::minmax(aLeft, aRight));
}

void
server_group::HealAll()
{
  mCuts.clear();
}

bool
server_group::Linked(const std::string& aLeft, const std::string& aRight) const
{
  return mCuts.empty() || !mCuts.contains(std::minmax(aLeft, aRight));
}

void
server_group::Finish()
{
  const auto* primary = Primary();
  if (primary == nullptr) {
    return;
  }
  std::size_t followers = 0;
  for (const auto& [id, held] : mServers) {
    followers += held.term == primary->term ? 1 : 0;
  }
  mSeen.settled = followers > mServers.size() / 2;
  for (const auto& record : primary->log) {
    mSeen.log.push_back({ record.term, record.values });
  }
}

} // namespace currantshed::matrix
