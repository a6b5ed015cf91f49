#include "currantshed/proxy/engine.hpp"

#include <algorithm>
#include <utility>

namespace currantshed::proxy {

namespace {

using std::chrono::milliseconds;

// How much of the time for a statement is left for the way back to the
// caller.
constexpr milliseconds kAnswerReserve{ 10 };
constexpr milliseconds kUpkeepInterval{ 250 };
// How long another VM's statement may take: that VM has its own, shorter
// bounds.
constexpr milliseconds kRelayTimeout{ 10000 };
// How long it may wait for a connection, as the other VM counts it into half of
// a target of 150 ms or more: longer, that VM had better know.
constexpr milliseconds kRelayWait{ 75 };

// When a caller comes back whose quota can't be checked: those who keep it may
// be out of reach for a while.
constexpr milliseconds kTokenRetry{ 500 };

bool
IsWrite(const session& aSession, const session_statement& aAsked)
{
  if (aAsked.kind == statement_kind::kExecute) {
    const auto* prepared = aSession.Prepared(aAsked.name);
    return prepared != nullptr && prepared->writes;
  }
  return aAsked.kind == statement_kind::kWrite;
}

// Whether a server must run it; all else is answered here.
bool
NeedsServer(statement_kind aKind)
{
  switch (aKind) {
    case statement_kind::kCommit:
    case statement_kind::kRead:
    case statement_kind::kWrite:
    case statement_kind::kExecute:
      return true;
    default:
      return false;
  }
}

} // namespace

engine::engine(const engine_settings& aSettings,
               link_opener& aOpener,
               engine_host& aHost)
  : mSettings(aSettings)
  , mOpener(aOpener)
  , mHost(aHost)
{
}

engine::~engine() = default;

void
engine::SetConfiguration(std::shared_ptr<const configuration> aConfiguration,
                         clock::time_point aNow)
{
  mConfiguration = std::move(aConfiguration);
  MakePlans();
  mNextUpkeep = aNow;
  EndResting(false);
}

void
engine::SetServers(const std::vector<server>& aServers, clock::time_point aNow)
{
  for (auto& [id, state] : mServers) {
    state.unlisted = true;
  }
  for (const auto& listed : aServers) {
    const bool isNear = listed.failureDomain == mSettings.failureDomain;
    const auto [place, added] = mServers.try_emplace(listed.id, listed, isNear);
    auto& state = place->second;
    state.List(listed, aNow);
    if (added) {
      MakePlan(state);
      mNextUpkeep = aNow;
    }
  }
  // What proved a server to lead says nothing of it once it has started again.
  for (auto& [service, lead] : mLeads) {
    const auto* primary = Find(lead.proof.primary);
    if (primary != nullptr && !primary->IsOfThisLife(lead.proof.askedAt)) {
      lead.proof.askedAt = {};
    }
  }
  for (const auto& [name, queue] : mQueues) {
    Pump(name, aNow);
  }
}

void
engine::SetFleet(std::vector<fleet_vm> aFleet, clock::time_point aNow)
{
  if (aFleet != mFleet) {
    mFleet = std::move(aFleet);
    MakePlans();
    mNextUpkeep = aNow;
  }
}

void
engine::Confirm(const std::string& aService,
                const confirmation& aProof,
                clock::time_point aNow)
{
  auto& lead = LeadOf(aService);
  const auto* primary = Find(aProof.primary);
  const bool isOfOldLife =
    primary != nullptr && !primary->IsOfThisLife(aProof.askedAt);
  if (aProof.term < lead.proof.term || aProof.term <= lead.revoked ||
      isOfOldLife) {
    return;
  }
  if (aProof.term > lead.proof.term) {
    // Positions of the old term may have been rolled back.
    lead.samples = {};
  } else if (aProof.askedAt <= lead.proof.askedAt) {
    return;
  }
  lead.proof = aProof;
  ReleaseHeld(aService, aNow);
  Pump(aService, aNow);
}

void
engine::AddSample(const std::string& aService, const position_sample& aSample)
{
  auto& lead = LeadOf(aService);
  if (aSample.term == lead.proof.term) {
    lead.samples.Add(aSample.position, aSample.askedAt);
  }
}

void
engine::Revoke(const std::string& aService, position::term_id aTerm)
{
  auto& lead = LeadOf(aService);
  if (aTerm == 0 && lead.proof.term <= lead.revoked) {
    lead.proof.askedAt = {};
  }
  lead.revoked = aTerm == 0 ? 0 : std::max(lead.revoked, aTerm);
}

std::optional<engine::session_id>
engine::Open(std::string aDatabase, caller& aCaller, std::string aKey)
{
  if (!mConfiguration->routes.contains(aDatabase)) {
    return std::nullopt;
  }
  const auto id = ++mLastNumber;
  auto made = std::make_unique<session>(id, std::move(aDatabase), aCaller);
  made->key = std::move(aKey);
  mSessions.emplace(id, std::move(made));
  return id;
}

std::optional<engine::session_id>
engine::OpenRelay(const upstream::server_id& aServer, caller& aCaller)
{
  const auto* state = Find(aServer);
  if (state == nullptr) {
    return std::nullopt;
  }
  const auto id = ++mLastNumber;
  auto made = std::make_unique<session>(id, std::string(), aCaller);
  made->relaysTo = aServer;
  route relayed;
  relayed.service = state->listed.service;
  relayed.statementTimeout = kRelayTimeout;
  relayed.target = kRelayWait;
  made->relayRoute = std::make_shared<route>(std::move(relayed));
  mSessions.emplace(id, std::move(made));
  return id;
}

void
engine::Submit(session_id aSession,
               session_statement aAsked,
               clock::time_point aNow)
{
  mDiscarded.clear();
  const auto found = mSessions.find(aSession);
  if (found == mSessions.end()) {
    return;
  }
  auto& from = *found->second;
  if (from.current || !from.backlog.empty()) {
    from.backlog.push_back(std::move(aAsked));
    return;
  }
  Take(from, std::move(aAsked), aNow);
}

transaction_state
engine::StateOf(session_id aSession) const
{
  const auto found = mSessions.find(aSession);
  return found == mSessions.end() ? transaction_state::kIdle
                                  : found->second->State();
}

void
engine::Close(session_id aSession, clock::time_point aNow)
{
  const auto found = mSessions.find(aSession);
  if (found == mSessions.end()) {
    return;
  }
  auto& closed = *found->second;
  closed.gone = true;
  closed.backlog.clear();
  if (closed.current && closed.current->at == stage::kAwaitingToken) {
    NoteDecision(closed, "caller_left", "waiting", false, aNow);
    closed.current.reset();
  } else if (closed.current && closed.current->at == stage::kWaiting) {
    Unqueue(closed);
    NoteDecision(closed, "caller_left", "waiting", false, aNow);
    closed.current.reset();
  } else if (closed.current && closed.current->at == stage::kConfirming) {
    closed.current.reset();
  }
  if (!closed.current) {
    EndTransaction(closed, aNow);
  }
  DropIfGone(aSession);
}

void
engine::Drain()
{
  mIsDraining = true;
  std::vector<session*> idle;
  for (const auto& [id, one] : mSessions) {
    const bool isIdle =
      !one->current && !one->transaction && one->backlog.empty();
    if (isIdle && !one->farEnd.HasUnread()) {
      idle.push_back(one.get());
    }
  }
  for (auto* one : idle) {
    one->farEnd.Close();
  }
}

void
engine::EndIdleTransactions(clock::time_point aNow)
{
  std::vector<session*> open;
  for (const auto& [id, one] : mSessions) {
    if (one->transaction && !one->current) {
      open.push_back(one.get());
    }
  }
  for (auto* one : open) {
    EndTransaction(*one, aNow);
    one->farEnd.Close();
  }
}

std::size_t
engine::Requests() const
{
  return static_cast<std::size_t>(
    std::count_if(mSessions.begin(), mSessions.end(), [](const auto& aEntry) {
      return aEntry.second->current.has_value();
    }));
}

std::vector<std::string>
engine::UsedSince(clock::time_point aTime) const
{
  std::vector<std::string> used;
  for (const auto& [service, lead] : mLeads) {
    if (lead.usedAt >= aTime) {
      used.push_back(service);
    }
  }
  return used;
}

std::optional<clock::time_point>
engine::HeardAt(const upstream::server_id& aServer) const
{
  const auto found = mServers.find(aServer);
  if (found == mServers.end() || found->second.heardAt == clock::time_point{}) {
    return std::nullopt;
  }
  return found->second.heardAt;
}

void
engine::Tick(clock::time_point aNow)
{
  mDiscarded.clear();
  ExpireOrders(aNow);
  while (!mTimers.empty() && mTimers.begin()->first <= aNow) {
    const auto id = mTimers.begin()->second;
    mTimers.erase(mTimers.begin());
    const auto found = mSessions.find(id);
    if (found != mSessions.end()) {
      Expire(*found->second, aNow);
      DropIfGone(id);
    }
  }
  if (aNow >= mNextUpkeep) {
    mNextUpkeep = aNow + kUpkeepInterval;
    AvoidSilentRelays(aNow);
    TrimConnections(aNow);
    for (const auto& [name, queue] : mQueues) {
      Pump(name, aNow);
    }
  }
}

clock::time_point
engine::NextTick() const
{
  auto next = mNextUpkeep;
  if (!mTimers.empty()) {
    next = std::min(next, mTimers.begin()->first);
  }
  for (const auto& [number, one] : mOrders) {
    next = std::min(next, one.deadline);
  }
  return next;
}

void
engine::Take(session& aSession,
             session_statement aAsked,
             clock::time_point aNow)
{
  const bool endsFailed = aSession.transaction && aSession.transaction->failed;
  if (aAsked.kind == statement_kind::kRollback || endsFailed) {
    const bool ends = aAsked.kind == statement_kind::kRollback ||
                      aAsked.kind == statement_kind::kCommit;
    if (ends && aSession.transaction && aSession.transaction->on != nullptr) {
      auto& on = *aSession.transaction->on;
      aSession.transaction->on = nullptr;
      GiveBack(on, aNow);
    }
  }
  if (aSession.transaction && aSession.transaction->lost &&
      NeedsServer(aAsked.kind)) {
    AnswerLost(aSession, aAsked, aNow);
    return;
  }
  if (auto local = aSession.AnswerLocally(aAsked)) {
    Finish(aSession, std::move(*local), aNow);
    return;
  }
  auto route =
    aSession.transaction ? aSession.transaction->under : RouteOf(aSession);
  if (route == nullptr) {
    answer refused;
    refused.failed =
      failure{ failure_code::kNoDatabase, "no such database any longer" };
    Finish(aSession, std::move(refused), aNow);
    return;
  }
  if (!aSession.IsRelay()) {
    LeadOf(route->service).usedAt = aNow;
  }
  if (const auto why = WhyNotEntitled(aSession, *route, aNow)) {
    request refused;
    refused.number = ++mLastNumber;
    refused.arrivedAt = aNow;
    refused.asked = std::move(aAsked);
    refused.under = std::move(route);
    aSession.current = std::move(refused);
    Fail(aSession, why->code, why->text, aNow);
    return;
  }
  const auto owner = OwnerOf(aSession, *route);
  const auto customer = aSession.IsRelay() ? aAsked.customer
                        : owner == nullptr ? std::string()
                                           : owner->name;
  if (aAsked.kind == statement_kind::kBegin ||
      aAsked.kind == statement_kind::kBeginReadOnly) {
    open_transaction begun;
    begun.under = route;
    begun.customer = customer;
    begun.readOnly = aAsked.kind == statement_kind::kBeginReadOnly;
    aSession.transaction = std::move(begun);
    // The server is asked with the first statement; another VM wants to know
    // what it says now.
    if (!aSession.IsRelay()) {
      answer done;
      done.signature = "-";
      Finish(aSession, std::move(done), aNow);
      return;
    }
  }
  request made;
  made.number = ++mLastNumber;
  made.arrivedAt = aNow;
  made.deadline = aNow + route->statementTimeout - kAnswerReserve;
  made.waitUntil = std::min(aNow + route->target, made.deadline);
  const bool writes = IsWrite(aSession, aAsked);
  if (aSession.IsRelay()) {
    made.floor.position = aAsked.floor;
  } else if (aSession.transaction) {
    made.needsPrimary =
      !aSession.transaction->readOnly || route->policy == read_policy::kPrimary;
    made.commits = aAsked.kind == statement_kind::kCommit;
    aSession.transaction->wrote = aSession.transaction->wrote || writes;
  } else {
    made.needsPrimary = writes || route->policy == read_policy::kPrimary;
    made.commits = writes;
  }
  made.asked = std::move(aAsked);
  made.under = std::move(route);
  made.customer =
    aSession.transaction ? aSession.transaction->customer : customer;
  aSession.current = std::move(made);
  if (MayBegin(aSession, aNow)) {
    Dispatch(aSession, aNow);
  }
}

// The transaction's server connection broke between two statements, and with
// it all that the transaction did.
void
engine::AnswerLost(session& aSession,
                   const session_statement& aAsked,
                   clock::time_point aNow)
{
  answer made;
  made.failed =
    failure{ failure_code::kAborted, "the connection to the server was lost" };
  if (aAsked.kind == statement_kind::kCommit) {
    aSession.transaction.reset();
  } else {
    aSession.transaction->lost = false;
    aSession.transaction->failed = true;
  }
  Finish(aSession, std::move(made), aNow);
}

std::shared_ptr<const route>
engine::RouteOf(const session& aSession) const
{
  if (aSession.IsRelay()) {
    return aSession.relayRoute;
  }
  const auto found = mConfiguration->routes.find(aSession.database);
  return found == mConfiguration->routes.end() ? nullptr : found->second;
}

// Hands the answer over and goes on with what the caller sent meanwhile.
void
engine::Finish(session& aSession, answer aAnswer, clock::time_point aNow)
{
  const auto id = aSession.number;
  aSession.current.reset();
  aAnswer.state = aSession.State();
  if (aSession.gone) {
    EndTransaction(aSession, aNow);
    return;
  }
  if (aSession.transaction) {
    aSession.transaction->lastUsed = aNow;
    const auto idle = mConfiguration->transactionIdle;
    Schedule(aSession, aNow + idle);
  }
  aSession.farEnd.Deliver(aAnswer);
  const auto found = mSessions.find(id);
  if (found == mSessions.end()) {
    return;
  }
  if (!aSession.backlog.empty()) {
    auto next = std::move(aSession.backlog.front());
    aSession.backlog.pop_front();
    Take(aSession, std::move(next), aNow);
    return;
  }
  if (mIsDraining && !aSession.transaction) {
    aSession.farEnd.Close();
  }
}

// Ends the request under way without a result. A transaction does not outlive
// a failed statement.
void
engine::Fail(session& aSession,
             failure_code aCode,
             std::string aText,
             clock::time_point aNow)
{
  NoteDecision(aSession, NameOf(aCode), aText, false, aNow);
  answer made;
  made.failed = failure{ aCode, std::move(aText) };
  if (aSession.IsRelay()) {
    // Only what has not begun waits, and so fails, here.
    aSession.transaction.reset();
  } else if (aSession.transaction) {
    const bool wasCommit =
      aSession.current->asked.kind == statement_kind::kCommit;
    EndTransaction(aSession, aNow);
    if (!wasCommit) {
      aSession.transaction = open_transaction{};
      aSession.transaction->failed = true;
    }
  }
  Finish(aSession, std::move(made), aNow);
}

// Gives up the open transaction; its server connection rolls back.
void
engine::EndTransaction(session& aSession, clock::time_point aNow)
{
  if (!aSession.transaction) {
    return;
  }
  auto* on = aSession.transaction->on;
  aSession.transaction.reset();
  if (on != nullptr) {
    GiveBack(*on, aNow);
  }
}

void
engine::DropIfGone(session_id aSession)
{
  const auto found = mSessions.find(aSession);
  if (found != mSessions.end() && found->second->gone &&
      !found->second->current) {
    mSessions.erase(found);
  }
}

void
engine::Schedule(session& aSession, clock::time_point aAt)
{
  mTimers.insert({ aAt, aSession.number });
}

// A time that concerned the session has come; which one, its state tells.
void
engine::Expire(session& aSession, clock::time_point aNow)
{
  if (!aSession.current) {
    const auto idle = mConfiguration->transactionIdle;
    if (aSession.transaction && !aSession.gone &&
        aNow >= aSession.transaction->lastUsed + idle) {
      EndTransaction(aSession, aNow);
      aSession.farEnd.Close();
    }
    return;
  }
  auto& request = *aSession.current;
  if (request.at == stage::kAwaitingToken) {
    if (aNow >= request.waitUntil) {
      RefuseOverQuota(aSession, kTokenRetry, aNow);
    }
    return;
  }
  if (request.at == stage::kWaiting) {
    if (aNow >= std::min(request.waitUntil, request.deadline)) {
      Unqueue(aSession);
      // What has begun meanwhile is no reason to send the caller away.
      if (aNow < request.deadline && IsOutage(aSession, aNow)) {
        request.place.reset();
        Wait(aSession, aNow);
        return;
      }
      TurnAway(aSession, WhatLacks(aSession, aNow), aNow);
    }
    return;
  }
  if (aNow < request.deadline) {
    return;
  }
  if (request.at == stage::kConfirming) {
    Fail(
      aSession, failure_code::kInDoubt, "the primary is not confirmed", aNow);
    return;
  }
  LinkLost(aSession, aNow);
}

} // namespace currantshed::proxy
