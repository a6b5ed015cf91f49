#include "test/currantshed/group/fake_group.hpp"

#include <algorithm>
#include <utility>

#include "currantshed/outcome/request_digest.hpp"

namespace currantshed::test {

namespace {

using group::operation;
using upstream::batch_end;
using upstream::server_role;

constexpr std::chrono::hours kStart{ 1000 };
constexpr std::chrono::microseconds kMinStep{ 100 };
constexpr std::chrono::milliseconds kReplicationInterval{ 2 };
constexpr std::chrono::milliseconds kConnectTime{ 12 };
constexpr std::chrono::milliseconds kDefaultDeadline{ 2000 };
constexpr std::chrono::seconds kMaxCallTime{ 30 };

} // namespace

fake_group::fake_group(const group::engine_settings& aSettings,
                       std::size_t aServers,
                       unsigned aSlots,
                       unsigned aConnections)
  : mEngine(group::MakeEngine(aSettings))
  , mNow(kStart)
{
  mDescription.name = "claimsbook-1";
  for (std::size_t i = 0; i < aServers; ++i) {
    group::member member;
    member.id = "s" + std::to_string(i + 1);
    member.failureDomain = "d" + std::to_string(i + 1);
    member.slots = aSlots;
    member.connections = aConnections;
    mDescription.members.push_back(member);
    fake_server server;
    server.following = "s1";
    server.role = i == 0 ? server_role::kPrimary : server_role::kReplica;
    server.log.push_back({ 1 });
    server.applied = 1;
    mServers[member.id] = std::move(server);
  }
  mEngine->Configure(mDescription, mNow);
  Perform();
  Replicate();
}

void
fake_group::Run(std::chrono::milliseconds aTime)
{
  const auto end = mNow + aTime;
  auto earliestTick = mNow;
  while (mNow < end) {
    const auto tick = std::max(mEngine->NextTick(), earliestTick);
    const auto event =
      mEvents.empty() ? clock::time_point::max() : mEvents.begin()->first;
    mNow = std::max(mNow, std::min({ tick, event, end }));
    if (event <= mNow) {
      auto due = std::move(mEvents.begin()->second);
      mEvents.erase(mEvents.begin());
      due();
    } else if (tick <= mNow) {
      mEngine->Tick(mNow);
      earliestTick = mNow + kMinStep;
    }
    Perform();
  }
}

group::request_id
fake_group::Submit(group::request aRequest)
{
  aRequest.id = ++mLastRequest;
  mEngine->Submit(std::move(aRequest), mNow, WallNow());
  Perform();
  return mLastRequest;
}

const group::answer*
fake_group::Answer(group::request_id aRequest) const
{
  const auto found = mAnswers.find(aRequest);
  return found == mAnswers.end() ? nullptr : &found->second;
}

const group::answer*
fake_group::Wait(group::request_id aRequest, std::chrono::milliseconds aTimeout)
{
  const auto end = mNow + aTimeout;
  while (Answer(aRequest) == nullptr && mNow < end) {
    Run(std::chrono::milliseconds{ 1 });
  }
  return Answer(aRequest);
}

group::answer
fake_group::Call(group::request aRequest)
{
  const auto* result = Wait(Submit(std::move(aRequest)), kMaxCallTime);
  return result == nullptr ? group::answer{} : *result;
}

void
fake_group::Fence(const upstream::server_id& aServer, position::term_id aTerm)
{
  auto& server = mServers.at(aServer);
  if (aTerm > server.term) {
    server.term = aTerm;
    server.role = server_role::kFenced;
    server.following.clear();
  }
}

void
fake_group::Promote(const upstream::server_id& aServer,
                    const std::vector<upstream::server_id>& aFenced)
{
  position::term_id term = 0;
  for (const auto& [id, server] : mServers) {
    term = std::max(term, server.term);
  }
  ++term;
  for (const auto& id : aFenced) {
    Fence(id, term);
  }
  Fence(aServer, term);
  auto& primary = mServers.at(aServer);
  primary.role = server_role::kPrimary;
  primary.log.push_back({ term });
  primary.applied = primary.log.size();
  for (const auto& id : aFenced) {
    if (id != aServer) {
      mServers.at(id).role = server_role::kReplica;
      mServers.at(id).following = aServer;
    }
  }
  Replicate(aServer);
}

void
fake_group::Thaw(const upstream::server_id& aServer)
{
  auto& server = mServers.at(aServer);
  server.frozen = false;
  for (auto& batch : std::exchange(server.pendingBatches, {})) {
    batch();
  }
}

void
fake_group::SetLeaving(const upstream::server_id& aServer, bool aLeaving)
{
  for (auto& member : mDescription.members) {
    if (member.id == aServer) {
      member.leaving = aLeaving;
    }
  }
  mEngine->Configure(mDescription, mNow);
  Perform();
}

void
fake_group::SetTransactionLimit(std::chrono::milliseconds aLimit)
{
  mDescription.transactionLimit = aLimit;
  mEngine->Configure(mDescription, mNow);
  Perform();
}

void
fake_group::Move(const upstream::server_id& aServer)
{
  for (auto& member : mDescription.members) {
    member.port += member.id == aServer ? 1 : 0;
  }
  mEngine->Configure(mDescription, mNow);
  Perform();
}

void
fake_group::Drop(const upstream::server_id& aServer)
{
  std::erase_if(mDescription.members, [&aServer](const group::member& aOne) {
    return aOne.id == aServer;
  });
  mEngine->Configure(mDescription, mNow);
  Perform();
}

void
fake_group::LoseConnections(const upstream::server_id& aServer)
{
  std::vector<group::connection_id> lost;
  for (const auto& [id, connection] : mConnections) {
    if (connection.server == aServer && connection.open) {
      lost.push_back(id);
    }
  }
  for (const auto id : lost) {
    Close(id);
    mEngine->ConnectionLost(id, mNow);
    Perform();
  }
}

fake_server&
fake_group::Server(const upstream::server_id& aServer)
{
  return mServers.at(aServer);
}

group::engine&
fake_group::Engine()
{
  return *mEngine;
}

clock::time_point
fake_group::Now() const
{
  return mNow;
}

clock::wall_time
fake_group::WallNow() const
{
  return clock::wall_time{
    std::chrono::duration_cast<clock::wall_time::duration>(
      mNow.time_since_epoch())
  };
}

group::request
fake_group::Read(std::chrono::milliseconds aMaxStaleness)
{
  group::request result;
  result.kind = operation::kRead;
  result.work.name = "lookup";
  result.work.maxStaleness = aMaxStaleness;
  result.statements = { { "list", {} } };
  result.deadline = mNow + kDefaultDeadline;
  for (const auto& member : mDescription.members) {
    result.work.servedIn.push_back(member.failureDomain);
  }
  return result;
}

group::request
fake_group::Write(const std::string& aValue, bool aRepeatable)
{
  auto result = Read(std::chrono::milliseconds{ 0 });
  result.kind = operation::kWrite;
  result.work.name = "report";
  result.work.kind = policy::access::kWrite;
  result.work.repeatable = aRepeatable;
  result.statements = { { "add " + aValue, {} } };
  result.key = NextKey();
  return result;
}

group::request
fake_group::In(operation aKind,
               group::transaction_id aTransaction,
               const std::string& aSql)
{
  group::request result;
  result.kind = aKind;
  result.transaction = aTransaction;
  result.deadline = mNow + kDefaultDeadline;
  result.work.kind = policy::access::kWrite;
  if (!aSql.empty()) {
    result.statements = { { aSql, {} } };
  }
  if (aKind == operation::kCommit) {
    result.key = NextKey();
  }
  return result;
}

outcome::idempotency_key
fake_group::NextKey()
{
  return outcome::idempotency_key::Make(WallNow(), 0, ++mLastKey);
}

std::vector<std::string>
fake_group::Values()
{
  const fake_server* primary = nullptr;
  for (const auto& [id, server] : mServers) {
    const auto isPrimary = server.role == server_role::kPrimary;
    if (isPrimary && (primary == nullptr || server.term > primary->term)) {
      primary = &server;
    }
  }
  std::vector<std::string> values;
  if (primary != nullptr) {
    for (const auto& record : primary->log) {
      values.insert(values.end(), record.values.begin(), record.values.end());
    }
  }
  return values;
}

void
fake_group::At(clock::time_point aTime, event aEvent)
{
  mEvents.emplace(aTime, std::move(aEvent));
}

void
fake_group::Perform()
{
  for (auto actions = mEngine->TakeActions(); !actions.empty();
       actions = mEngine->TakeActions()) {
    for (const auto& action : actions) {
      Perform(action);
    }
  }
}

void
fake_group::Perform(const group::action& aAction)
{
  if (const auto* open = std::get_if<group::open_connection>(&aAction)) {
    Open(*open);
  } else if (const auto* close =
               std::get_if<group::close_connection>(&aAction)) {
    Close(close->connection);
  } else if (const auto* batch = std::get_if<group::run_batch>(&aAction)) {
    RunBatch(*batch);
  } else if (const auto* statusRequest =
               std::get_if<group::request_status>(&aAction)) {
    RequestStatus(statusRequest->server);
  } else if (const auto* given = std::get_if<group::give_answer>(&aAction)) {
    mAnswers[given->reply.request] = given->reply;
  }
}

void
fake_group::Open(const group::open_connection& aAction)
{
  mConnections[aAction.connection] = {
    aAction.server, false, aAction.readOnly, std::nullopt
  };
  auto& server = mServers.at(aAction.server);
  ++server.connections;
  server.maxConnections = std::max(server.maxConnections, server.connections);
  At(mNow + kConnectTime, [this, id = aAction.connection] {
    const auto found = mConnections.find(id);
    if (found == mConnections.end()) {
      return;
    }
    const auto& target = mServers.at(found->second.server);
    if (target.cut || target.frozen || target.refusing) {
      --mServers.at(found->second.server).connections;
      mConnections.erase(found);
      mEngine->ConnectionFailed(id, mNow);
      return;
    }
    found->second.open = true;
    mEngine->ConnectionOpened(id, mNow);
  });
}

void
fake_group::Close(group::connection_id aConnection)
{
  const auto found = mConnections.find(aConnection);
  if (found != mConnections.end()) {
    --mServers.at(found->second.server).connections;
    mConnections.erase(found);
  }
}

void
fake_group::RunBatch(const group::run_batch& aAction)
{
  const auto found = mConnections.find(aAction.connection);
  if (found == mConnections.end() || !found->second.open) {
    return;
  }
  At(mNow + linkDelay, [this, aAction, copy = found->second] {
    auto& server = mServers.at(copy.server);
    if (server.cut) {
      return;
    }
    ++server.running;
    server.maxRunning = std::max(server.maxRunning, server.running);
    At(mNow + batchTime, [this, aAction, copy] {
      auto& target = mServers.at(copy.server);
      if (target.frozen) {
        target.pendingBatches.push_back(
          [this, aAction, copy] { Execute(aAction, copy); });
        return;
      }
      Execute(aAction, copy);
    });
  });
}

void
fake_group::Execute(const group::run_batch& aAction,
                    const fake_connection& aConnection)
{
  // A batch that has reached the server runs even if its connection was closed.
  const auto found = mConnections.find(aAction.connection);
  auto alone = aConnection;
  auto& link = found == mConnections.end() ? alone : found->second;
  auto& server = mServers.at(link.server);
  --server.running;
  const auto isCallers = IsCallersBatch(aAction.statements);
  upstream::reply reply;
  const auto isDropped =
    isCallers && std::exchange(server.tearNextBatch, false);
  if (!isDropped) {
    const auto before = server.log.size();
    reply = RunOn(server, link, aAction.statements);
    if (server.log.size() > before) {
      At(mNow + replicationDelay, [this, id = link.server] { Replicate(id); });
    }
  }
  if (isDropped || (isCallers && std::exchange(server.tearNextReply, false))) {
    reply = {};
    reply.end = batch_end::kIndeterminate;
    if (server.oversize) {
      reply.sqlState = upstream::kAnswerLimitSqlState;
    }
  }
  At(mNow + linkDelay, [this, aAction, reply, id = link.server] {
    const auto isOpen = mConnections.contains(aAction.connection);
    if (isOpen && !mServers.at(id).cut) {
      mEngine->Replied(aAction.connection, aAction.batch, reply, mNow);
    }
  });
}

void
fake_group::RequestStatus(const upstream::server_id& aServer)
{
  const auto askedAt = mNow;
  At(mNow + linkDelay, [this, aServer, askedAt] {
    const auto& server = mServers.at(aServer);
    if (server.cut || server.frozen) {
      return;
    }
    const auto status = server.Status();
    At(mNow + linkDelay, [this, aServer, askedAt, status] {
      if (!mServers.at(aServer).cut) {
        mEngine->StatusArrived(aServer, status, askedAt, mNow);
      }
    });
  });
}

void
fake_group::Replicate()
{
  for (const auto& [id, server] : mServers) {
    if (server.role == server_role::kPrimary) {
      Replicate(id);
    }
  }
  At(mNow + kReplicationInterval, [this] { Replicate(); });
}

void
fake_group::Replicate(const upstream::server_id& aPrimary)
{
  const auto& primary = mServers.at(aPrimary);
  if (primary.cut || primary.frozen || primary.isolated) {
    return;
  }
  for (auto& [id, server] : mServers) {
    const auto follows = server.role == server_role::kReplica &&
                         server.following == aPrimary &&
                         server.term == primary.term;
    if (!follows || server.cut || server.frozen || server.isolated ||
        server.lagging) {
      continue;
    }
    server.log = primary.log;
    server.applied = server.applyPaused
                       ? std::min(server.applied, server.log.size())
                       : server.log.size();
  }
}

} // namespace currantshed::test
