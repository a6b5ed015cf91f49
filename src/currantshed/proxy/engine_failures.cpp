// Rejected requests and lost connections.
#include <algorithm>
#include <string>
#include <utility>

#include <absl/strings/str_cat.h>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

// Maximum number of attempts of a request before the caller gets the last
// rejection.
constexpr unsigned kMaxAttempts = 5;
// Reads that failed on a server are retried once on another one.
constexpr unsigned kMaxAttemptsAfterFailure = 2;

// Whether a server that answers so has run nothing.
bool
HasNotRun(failure_code aCode)
{
  switch (aCode) {
    case failure_code::kBusy:
    case failure_code::kLagging:
    case failure_code::kReadOnly:
    case failure_code::kMisrouted:
    case failure_code::kTooManyConnections:
    case failure_code::kNoStatement:
      return true;
    default:
      return false;
  }
}

std::string_view
NameOf(link_close_reason aWhy)
{
  switch (aWhy) {
    case link_close_reason::kBroken:
      return "broken";
    case link_close_reason::kUnreachable:
      return "unreachable";
    case link_close_reason::kServerFull:
      return "server_full";
    case link_close_reason::kWrongServer:
      return "wrong_server";
    case link_close_reason::kMalformed:
      return "malformed";
  }
  return "unknown";
}

} // namespace

void
engine::HandleRejection(session& aSession,
                        answer aAnswer,
                        clock::time_point aNow)
{
  auto& request = *aSession.current;
  const auto why = *aAnswer.failed;
  // The server is not the primary, or lacks positions that the primary had.
  const bool deniesLeadership =
    why.code == failure_code::kReadOnly || why.code == failure_code::kLagging;
  if (deniesLeadership && request.needsPrimary) {
    auto& leadership = LeadershipOf(request.assignedRoute->service);
    if (leadership.confirmed.primary == request.lastServer) {
      leadership.confirmed.askedAt = {};
    }
    mHost.LeadershipDenied(request.assignedRoute->service, request.term);
  }
  ObserveFailedAnswer(*request.serverConnection, aAnswer, aNow);
  const bool begun = aSession.transaction && aSession.transaction->begun;
  if (!begun && aSession.IsRelay()) {
    ObserveRelayedLag(request, why, aNow);
    ReleaseConnection(aSession, aNow);
    aSession.transaction.reset();
    Finish(aSession, std::move(aAnswer), aNow);
    return;
  }
  if (begun) {
    request.serverConnection->transactionOpen =
      aAnswer.state != transaction_state::kIdle;
  } else {
    if (HasNotRun(why.code)) {
      request.token.OnNotRun();
    }
    ReleaseConnection(aSession, aNow);
    if (RetryElsewhere(aSession, why, aNow)) {
      return;
    }
  }
  if (request.mayHaveRun) {
    aAnswer.failed->code = failure_code::kFailed;
  }
  // The log contains the server's code, and what the caller is told instead.
  const auto reasonText =
    absl::StrCat(std::string(NameOf(why.code)),
                 request.mayHaveRun ? "; told that it may have run" : "");
  RecordDecision(aSession, "refused", reasonText, false, aNow);
  const bool isCommit = request.statement.kind == statement_kind::kCommit;
  if (aSession.transaction) {
    EndTransaction(aSession, aNow);
    if (!isCommit) {
      aSession.transaction = open_transaction{};
      aSession.transaction->failed = true;
    }
  }
  Finish(aSession, std::move(aAnswer), aNow);
}

// Learns from a relayed read that a replica lacks a position, so that the VMs
// that use this holder are told with their next answers.
void
engine::ObserveRelayedLag(const request& aRequest,
                          const failure& aWhy,
                          clock::time_point aNow)
{
  auto* state = Find(aRequest.lastServer);
  if (state == nullptr || aWhy.code != failure_code::kLagging ||
      !aRequest.floor.position) {
    return;
  }
  const auto& samples = LeadershipOf(aRequest.assignedRoute->service).samples;
  if (const auto writtenBy = samples.WrittenBy(*aRequest.floor.position)) {
    state->ObserveLag(*writtenBy, aNow);
  }
}

// Retries the request on another server, or later on the same one, when the
// answer shows that it has not run or when it is idempotent.
bool
engine::RetryElsewhere(session& aSession,
                       const failure& aWhy,
                       clock::time_point aNow)
{
  auto& request = *aSession.current;
  if (request.tries >= kMaxAttempts) {
    return false;
  }
  auto* state = Find(request.lastServer);
  switch (aWhy.code) {
    case failure_code::kLagging:
      if (state != nullptr && !request.needsPrimary) {
        state->ObserveLag(request.floor.writtenBy, aNow);
      }
      break;
    case failure_code::kReadOnly:
      if (!request.needsPrimary) {
        return false;
      }
      break;
    case failure_code::kBusy:
      // Nothing else is loaded by another try.
      if (aWhy.text == kServerUnreachable) {
        break;
      }
      if (request.needsPrimary || !RetriesOf(request).TryWithdraw()) {
        return false;
      }
      break;
    case failure_code::kNoStatement:
      break;
    case failure_code::kFailed:
      if (request.commits || request.tries >= kMaxAttemptsAfterFailure) {
        return false;
      }
      request.mayHaveRun = true;
      break;
    default:
      return false;
  }
  RecordDecision(aSession, "elsewhere", NameOf(aWhy.code), false, aNow);
  request.rejectedBy.push_back(request.lastServer);
  Requeue(aSession, aNow);
  return true;
}

// The request's connection was lost, or its deadline has passed.
void
engine::ConnectionLost(session& aSession, clock::time_point aNow)
{
  auto& request = *aSession.current;
  const auto lastStage = request.progress;
  if (request.fairTicket != nullptr && lastStage == stage::kRunning) {
    request.fairTicket->Use(aNow - request.sentAt);
  }
  if (request.serverConnection != nullptr) {
    request.serverConnection->user = nullptr;
    Discard(*request.serverConnection);
    request.serverConnection = nullptr;
  }
  if (aSession.IsRelay()) {
    const bool isUnsent = lastStage == stage::kSessionSetup &&
                          !aSession.transaction && aNow < request.deadline;
    if (isUnsent && FailIfUnreachable(aSession, aNow)) {
      return;
    }
    aSession.current.reset();
    EndRelay(aSession);
    return;
  }
  const bool inTransaction = aSession.transaction.has_value();
  const bool begun = inTransaction && aSession.transaction->begun;
  if (inTransaction) {
    aSession.transaction->serverConnection = nullptr;
    aSession.transaction->begun = false;
  }
  const bool ran = lastStage == stage::kRunning;
  request.mayHaveRun = request.mayHaveRun || ran;
  const bool expired = aNow >= request.deadline;
  const bool mayRepeat = !begun && (!ran || !request.commits);
  if (mayRepeat && !expired && request.tries < kMaxAttempts) {
    RecordDecision(aSession, "elsewhere", "connection_lost", false, aNow);
    request.rejectedBy.push_back(request.lastServer);
    Requeue(aSession, aNow);
    return;
  }
  const bool isCommit = request.statement.kind == statement_kind::kCommit;
  const bool wrote =
    inTransaction ? isCommit && aSession.transaction->wrote : request.commits;
  if (ran && wrote) {
    Fail(aSession, failure_code::kInDoubt, "no answer from the server", aNow);
  } else if (begun) {
    Fail(aSession,
         failure_code::kAborted,
         "no answer from the server; rolled back",
         aNow);
  } else if (ran) {
    Fail(aSession, failure_code::kTimeout, "no answer from the server", aNow);
  } else {
    Fail(aSession, RefusalCode(request), "no server in time", aNow);
  }
}

// Closes the relay session: the other VM sees its connection close, and decides
// what that means.
void
engine::EndRelay(session& aSession)
{
  if (aSession.current && aSession.current->progress == stage::kQueued) {
    Dequeue(aSession);
  }
  if (aSession.transaction) {
    aSession.transaction->serverConnection = nullptr;
    aSession.transaction->connectionLost = true;
  }
  if (!aSession.callerLeft) {
    aSession.client.Close();
  }
}

void
engine::Ended(connection& aConnection,
              link_close_reason aWhy,
              clock::time_point aNow)
{
  auto* state = Find(aConnection.server);
  if (state != nullptr) {
    if (aWhy == link_close_reason::kServerFull) {
      state->ObserveServerFull(aNow);
    } else if (!aConnection.IsDirect()) {
      state->ObserveRelayFailure(aConnection.via, aNow);
      ObserveServer(*state, balance::observation::kPathLost, aNow);
    } else {
      state->ObserveFailure(aNow);
      RecordReachability(*state, false, NameOf(aWhy));
      // An idle connection may close without harm.
      if (!aConnection.IsOpen() || !aConnection.HasNoPending()) {
        ObserveServer(*state,
                      aConnection.IsOpen() ? balance::observation::kReset
                                           : balance::observation::kUnreachable,
                      aNow);
      }
      // Requests that wait for the server are answered at once.
      mNextMaintenance = aNow;
    }
  }
  FailControlsOn(aConnection);
  auto* user = aConnection.user;
  aConnection.user = nullptr;
  Discard(aConnection);
  if (user == nullptr) {
    return;
  }
  const auto id = user->number;
  if (user->current) {
    user->current->serverConnection = nullptr;
    ConnectionLost(*user, aNow);
  } else if (user->IsRelay()) {
    EndRelay(*user);
  } else if (user->transaction) {
    user->transaction->serverConnection = nullptr;
    user->transaction->connectionLost = true;
  }
  RemoveIfCallerLeft(id);
}

void
engine::RecordDecision(const session& aSession,
                       std::string_view aOutcome,
                       std::string_view aReason,
                       bool aOrdinary,
                       clock::time_point aNow)
{
  const auto& request = *aSession.current;
  const auto& leadership = LeadershipOf(request.assignedRoute->service);
  decision made;
  made.outcome = aOutcome;
  made.session = aSession.number;
  made.requestId = request.statement.id;
  made.customer = request.customer;
  made.service = request.assignedRoute->service;
  made.server = request.lastServer;
  made.reason = aReason;
  made.waited = aNow - request.arrivedAt;
  made.tries = request.tries;
  made.priority = request.priority;
  made.needsPrimary = request.needsPrimary;
  if (leadership.confirmed.term != 0) {
    made.confirmationAge = aNow - leadership.confirmed.askedAt;
  }
  made.floor = request.floor.position;
  made.floorAge = aNow - request.floor.writtenBy;
  const auto* state = Find(request.lastServer);
  if (state != nullptr && state->drainingSince) {
    made.drainingFor = aNow - *state->drainingSince;
  }
  made.ordinary = aOrdinary;
  made.isFinal =
    aOutcome != "elsewhere" && aOutcome != "held" && aOutcome != "read_again";
  mHost.Decided(made);
}

} // namespace currantshed::proxy
