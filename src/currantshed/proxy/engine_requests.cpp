// One request from its coming to its answer: what a session may ask, and how
// its request ends.
#include <algorithm>
#include <utility>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

using std::chrono::milliseconds;

// How much of the time for a statement is left for the way back to the
// caller.
constexpr milliseconds kAnswerReserve{ 10 };
// When a caller comes back whose quota can't be checked: those who keep it may
// be out of reach for a while.
constexpr milliseconds kTokenRetryDelay{ 500 };

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

void
engine::Accept(session& aSession,
               session_statement aAsked,
               clock::time_point aNow)
{
  const bool endsFailed = aSession.transaction && aSession.transaction->failed;
  if (aAsked.kind == statement_kind::kRollback || endsFailed) {
    const bool ends = aAsked.kind == statement_kind::kRollback ||
                      aAsked.kind == statement_kind::kCommit;
    if (ends && aSession.transaction &&
        aSession.transaction->serverConnection != nullptr) {
      auto& serverConnection = *aSession.transaction->serverConnection;
      aSession.transaction->serverConnection = nullptr;
      ReturnConnection(serverConnection, aNow);
    }
  }
  if (aSession.transaction && aSession.transaction->connectionLost &&
      NeedsServer(aAsked.kind)) {
    FailLostTransaction(aSession, aAsked, aNow);
    return;
  }
  if (auto local = aSession.AnswerLocally(aAsked)) {
    Finish(aSession, std::move(*local), aNow);
    return;
  }
  auto route = aSession.transaction ? aSession.transaction->assignedRoute
                                    : RouteOf(aSession);
  if (route == nullptr) {
    answer refused;
    refused.failed =
      failure{ failure_code::kNoDatabase, "no such database any longer" };
    Finish(aSession, std::move(refused), aNow);
    return;
  }
  if (!aSession.IsRelay()) {
    LeadershipOf(route->service).lastUsedAt = aNow;
  }
  if (const auto why = AuthorizationFailure(aSession, *route, aNow)) {
    request refused;
    refused.number = ++mLastNumber;
    refused.arrivedAt = aNow;
    refused.asked = std::move(aAsked);
    refused.assignedRoute = std::move(route);
    aSession.current = std::move(refused);
    Fail(aSession, why->code, why->text, aNow);
    return;
  }
  const auto owner = CustomerOf(aSession, *route);
  const auto customer = aSession.IsRelay() ? aAsked.customer
                        : owner == nullptr ? std::string()
                                           : owner->name;
  if (aAsked.kind == statement_kind::kBegin ||
      aAsked.kind == statement_kind::kBeginReadOnly) {
    open_transaction begun;
    begun.assignedRoute = route;
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
  made.assignedRoute = std::move(route);
  made.customer =
    aSession.transaction ? aSession.transaction->customer : customer;
  aSession.current = std::move(made);
  if (TakeToken(aSession, aNow)) {
    Dispatch(aSession, aNow);
  }
}

// The transaction's server connection broke between two statements, and with
// it all that the transaction did.
void
engine::FailLostTransaction(session& aSession,
                            const session_statement& aAsked,
                            clock::time_point aNow)
{
  answer made;
  made.failed =
    failure{ failure_code::kAborted, "the connection to the server was lost" };
  if (aAsked.kind == statement_kind::kCommit) {
    aSession.transaction.reset();
  } else {
    aSession.transaction->connectionLost = false;
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
  if (aSession.callerLeft) {
    EndTransaction(aSession, aNow);
    return;
  }
  if (aSession.transaction) {
    aSession.transaction->lastUsed = aNow;
    const auto idle = mConfiguration->transactionIdle;
    Schedule(aSession, aNow + idle);
  }
  aSession.client.Deliver(aAnswer);
  const auto found = mSessions.find(id);
  if (found == mSessions.end()) {
    return;
  }
  if (!aSession.backlog.empty()) {
    auto next = std::move(aSession.backlog.front());
    aSession.backlog.pop_front();
    Accept(aSession, std::move(next), aNow);
    return;
  }
  if (mIsDraining && !aSession.transaction) {
    aSession.client.Close();
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
  auto* serverConnection = aSession.transaction->serverConnection;
  aSession.transaction.reset();
  if (serverConnection != nullptr) {
    ReturnConnection(*serverConnection, aNow);
  }
}

void
engine::DropIfGone(session_id aSession)
{
  const auto found = mSessions.find(aSession);
  if (found != mSessions.end() && found->second->callerLeft &&
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
    if (aSession.transaction && !aSession.callerLeft &&
        aNow >= aSession.transaction->lastUsed + idle) {
      EndTransaction(aSession, aNow);
      aSession.client.Close();
    }
    return;
  }
  auto& request = *aSession.current;
  if (request.at == stage::kAwaitingToken) {
    if (aNow >= request.waitUntil) {
      RefuseOverQuota(aSession, kTokenRetryDelay, aNow);
    }
    return;
  }
  if (request.at == stage::kQueued) {
    if (aNow >= std::min(request.waitUntil, request.deadline)) {
      Dequeue(aSession);
      // What has begun meanwhile is no reason to send the caller away.
      if (aNow < request.deadline && IsOutage(aSession, aNow)) {
        request.queueEntry.reset();
        Enqueue(aSession, aNow);
        return;
      }
      Reject(aSession, MissingResource(aSession, aNow), aNow);
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
  ConnectionLost(aSession, aNow);
}

} // namespace currantshed::proxy
