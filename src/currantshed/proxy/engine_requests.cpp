// A request from its arrival to its answer.
#include <algorithm>
#include <utility>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

using std::chrono::milliseconds;

// Part of the statement timeout that is reserved for the way back to the
// caller.
constexpr milliseconds kAnswerReserve{ 10 };
// Retry delay for a caller whose quota can't be checked: the VMs that keep the
// quota may be unreachable for a while.
constexpr milliseconds kTokenRetryDelay{ 500 };
// Longest wait of a relayed request, whatever its target: the requesting VM
// takes a holder that has not answered for 300 ms for lost, and the statement
// has yet to run.
constexpr milliseconds kMaxRelayedWait{ 150 };

bool
IsWrite(const session& aSession, const session_statement& aStatement)
{
  if (aStatement.kind == statement_kind::kExecute) {
    const auto* prepared = aSession.Prepared(aStatement.name);
    return prepared != nullptr && prepared->writes;
  }
  return aStatement.kind == statement_kind::kWrite;
}

// Whether a server must run it; other statements are answered locally.
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

// Queues a relayed request by the class and the remaining time that the
// requesting VM gave. One that has missed its target already may still wait.
void
ApplyAttributes(const request_attributes& aAttributes, request& aRequest)
{
  aRequest.attributes = aAttributes;
  aRequest.priority = aAttributes.priority;
  // Bounded before they are added to a time, which could overflow.
  const auto most =
    std::chrono::floor<milliseconds>(aRequest.deadline - aRequest.arrivedAt);
  auto& told = *aRequest.attributes;
  told.untilDeadline = std::clamp(told.untilDeadline, milliseconds{ 0 }, most);
  told.untilTarget = std::clamp(told.untilTarget, milliseconds{ 0 }, most);
  aRequest.deadline = aRequest.arrivedAt + told.untilDeadline;
  const auto wait =
    told.untilTarget > milliseconds{ 0 }
      ? std::min(TimeAtHolder(told.untilTarget), kMaxRelayedWait)
      : kMaxRelayedWait;
  aRequest.waitUntil = std::min(aRequest.arrivedAt + wait, aRequest.deadline);
}

} // namespace

void
engine::Accept(session& aSession,
               session_statement aStatement,
               clock::time_point aNow)
{
  const bool hasFailed = aSession.transaction && aSession.transaction->failed;
  if (aStatement.kind == statement_kind::kRollback || hasFailed) {
    const bool endsTransaction = aStatement.kind == statement_kind::kRollback ||
                                 aStatement.kind == statement_kind::kCommit;
    if (endsTransaction && aSession.transaction &&
        aSession.transaction->serverConnection != nullptr) {
      auto& serverConnection = *aSession.transaction->serverConnection;
      aSession.transaction->serverConnection = nullptr;
      ReturnConnection(serverConnection, aNow);
    }
  }
  if (aSession.transaction && aSession.transaction->connectionLost &&
      NeedsServer(aStatement.kind)) {
    FailLostTransaction(aSession, aStatement, aNow);
    return;
  }
  if (auto local = aSession.AnswerLocally(aStatement)) {
    Finish(aSession, std::move(*local), aNow);
    return;
  }
  auto route = aSession.transaction ? aSession.transaction->assignedRoute
                                    : RouteOf(aSession);
  if (route == nullptr) {
    answer rejected;
    rejected.failed =
      failure{ failure_code::kNoDatabase, "no such database any longer" };
    Finish(aSession, std::move(rejected), aNow);
    return;
  }
  if (!aSession.IsRelay()) {
    LeadershipOf(route->service).lastUsedAt = aNow;
  }
  if (const auto why = AuthorizationFailure(aSession, *route, aNow)) {
    request rejected;
    rejected.number = ++mLastNumber;
    rejected.arrivedAt = aNow;
    rejected.statement = std::move(aStatement);
    rejected.assignedRoute = std::move(route);
    aSession.current = std::move(rejected);
    Fail(aSession, why->code, why->text, aNow);
    return;
  }
  const auto owner = CustomerOf(aSession, *route);
  const auto customer = aSession.IsRelay() ? aStatement.customer
                        : owner == nullptr ? std::string()
                                           : owner->name;
  if (aStatement.kind == statement_kind::kBegin ||
      aStatement.kind == statement_kind::kBeginReadOnly) {
    open_transaction begun;
    begun.assignedRoute = route;
    begun.customer = customer;
    begun.readOnly = aStatement.kind == statement_kind::kBeginReadOnly;
    aSession.transaction = std::move(begun);
    // The server begins it with the first statement. A relay begins it at once,
    // since the other VM waits for the server's answer.
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
  const bool writes = IsWrite(aSession, aStatement);
  if (aSession.IsRelay()) {
    made.floor.position = aStatement.floor;
  } else if (aSession.transaction) {
    made.needsPrimary =
      !aSession.transaction->readOnly || route->policy == read_policy::kPrimary;
    made.commits = aStatement.kind == statement_kind::kCommit;
    aSession.transaction->wrote = aSession.transaction->wrote || writes;
  } else {
    made.needsPrimary = writes || route->policy == read_policy::kPrimary;
    made.commits = writes;
  }
  made.priority = route->priority;
  if (aSession.IsRelay() && aStatement.attributes) {
    ApplyAttributes(*aStatement.attributes, made);
  }
  made.statement = std::move(aStatement);
  made.assignedRoute = std::move(route);
  made.customer =
    aSession.transaction ? aSession.transaction->customer : customer;
  aSession.current = std::move(made);
  if (TakeToken(aSession, aNow)) {
    Dispatch(aSession, aNow);
  }
}

// The transaction's server connection was lost between two statements, and the
// transaction with it.
void
engine::FailLostTransaction(session& aSession,
                            const session_statement& aStatement,
                            clock::time_point aNow)
{
  answer made;
  made.failed =
    failure{ failure_code::kAborted, "the connection to the server was lost" };
  if (aStatement.kind == statement_kind::kCommit) {
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

// Delivers the answer and continues with the requests queued behind it.
void
engine::Finish(session& aSession, answer aAnswer, clock::time_point aNow)
{
  const auto id = aSession.number;
  aAnswer.load = LoadFor(aSession, aNow);
  if (aSession.current) {
    ReturnToken(aSession);
  }
  aSession.current.reset();
  aAnswer.state = aSession.State();
  if (aSession.callerLeft) {
    EndTransaction(aSession, aNow);
    return;
  }
  if (aSession.transaction) {
    aSession.transaction->lastUsed = aNow;
    const auto idle = mConfiguration->transactionIdle;
    ScheduleTimer(aSession, aNow + idle);
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

// Ends the current request with an error. A failed statement ends its
// transaction.
void
engine::Fail(session& aSession,
             failure_code aCode,
             std::string aText,
             clock::time_point aNow)
{
  RecordDecision(aSession, NameOf(aCode), aText, false, aNow);
  answer made;
  made.failed = failure{ aCode, std::move(aText) };
  if (aSession.IsRelay()) {
    // Only a transaction that has not begun can wait, and so fail, here.
    aSession.transaction.reset();
  } else if (aSession.transaction) {
    const bool wasCommit =
      aSession.current->statement.kind == statement_kind::kCommit;
    EndTransaction(aSession, aNow);
    if (!wasCommit) {
      aSession.transaction = open_transaction{};
      aSession.transaction->failed = true;
    }
  }
  Finish(aSession, std::move(made), aNow);
}

// Ends the open transaction; its server connection rolls it back.
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
engine::RemoveIfCallerLeft(session_id aSession)
{
  const auto found = mSessions.find(aSession);
  if (found != mSessions.end() && found->second->callerLeft &&
      !found->second->current) {
    mSessions.erase(found);
  }
}

void
engine::ScheduleTimer(session& aSession, clock::time_point aAt)
{
  mTimers.insert({ aAt, aSession.number });
}

// Handles a timer of the session; its state shows which one has expired.
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
  if (request.progress == stage::kAwaitingToken) {
    if (aNow >= request.waitUntil) {
      RejectOverQuota(aSession, kTokenRetryDelay, aNow);
    }
    return;
  }
  if (request.progress == stage::kQueued) {
    if (aNow >= std::min(request.waitUntil, request.deadline)) {
      Dequeue(aSession);
      // An outage that began meanwhile is no reason to reject the request.
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
  if (request.progress == stage::kConfirming) {
    Fail(
      aSession, failure_code::kInDoubt, "the primary is not confirmed", aNow);
    return;
  }
  ConnectionLost(aSession, aNow);
}

} // namespace currantshed::proxy
