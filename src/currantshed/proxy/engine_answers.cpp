#include <algorithm>
#include <utility>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

// Whether the server itself has answered: what another VM on the way answers
// by itself has no position.
bool
IsFromServer(const connection& aConnection, const answer& aAnswer)
{
  return aConnection.IsDirect() || aAnswer.position.has_value();
}

} // namespace

void
engine::Opened(connection& aConnection,
               const std::optional<position::log_position>& aAt,
               clock::time_point aNow)
{
  auto* state = Find(aConnection.server);
  if (state == nullptr) {
    return;
  }
  // Another VM opens its relay by itself.
  if (aConnection.IsDirect()) {
    state->lastContactAt = aNow;
    NoteReachability(*state, true, "answered");
  } else {
    mRelayContacts[aConnection.via] = aNow;
  }
  if (aAt) {
    state->ObservePosition(
      *aAt, LeadershipOf(aConnection.service).samples, aNow);
  }
  DispatchControls(aConnection.server, aNow);
  DispatchQueued(aConnection.service, aNow);
}

void
engine::Answered(connection& aConnection,
                 const pending_command& aPending,
                 answer aAnswer,
                 clock::time_point aNow)
{
  RecordAnswer(aConnection, aPending, aAnswer, aNow);
  if (!aConnection.IsDirect()) {
    mRelayContacts[aConnection.via] = aNow;
  }
  if (aPending.sentFor == purpose::kControl) {
    const bool isFromServer = IsFromServer(aConnection, aAnswer);
    FinishControl(aPending.controlId,
                  { aAnswer.report, isFromServer, aPending.sentAt });
    if (aConnection.IsIdle()) {
      ReturnConnection(aConnection, aNow);
    }
    return;
  }
  auto* user = aConnection.user;
  if (aPending.sentFor == purpose::kRollback || user == nullptr) {
    // A rollback that failed leaves the connection in an unknown state.
    aConnection.retiring = aConnection.retiring || aAnswer.failed.has_value();
    if (aConnection.HasNoPending()) {
      ReturnConnection(aConnection, aNow);
    }
    return;
  }
  const auto id = user->number;
  switch (aPending.sentFor) {
    case purpose::kSessionSetup:
      SetupAnswered(*user, aAnswer, aNow);
      break;
    case purpose::kPrepare:
      // What it should have made known fails by itself, without running.
      aConnection.retiring = aConnection.retiring || aAnswer.failed.has_value();
      break;
    case purpose::kBegin:
      BeginAnswered(*user, std::move(aAnswer), aNow);
      break;
    default:
      StatementAnswered(*user, std::move(aAnswer), aNow);
      break;
  }
  DropIfGone(id);
}

void
engine::RecordAnswer(connection& aConnection,
                     const pending_command& aPending,
                     const answer& aAnswer,
                     clock::time_point aNow)
{
  auto* state = Find(aConnection.server);
  if (state == nullptr) {
    return;
  }
  if (IsFromServer(aConnection, aAnswer)) {
    state->lastContactAt = aNow;
    NoteReachability(*state, true, "answered");
  }
  if (!aAnswer.position) {
    return;
  }
  auto& leadership = LeadershipOf(aConnection.service);
  const bool isSample = aPending.confirmedTerm != 0 &&
                        aPending.confirmedTerm == leadership.confirmed.term &&
                        leadership.confirmed.primary == aConnection.server;
  if (isSample) {
    leadership.samples.Add(*aAnswer.position, aPending.sentAt);
  }
  state->ObservePosition(*aAnswer.position, leadership.samples, aNow);
}

void
engine::NoteReachability(server_state& aState,
                         bool aIsReachable,
                         std::string_view aReason)
{
  if (aState.reachable != aIsReachable) {
    aState.reachable = aIsReachable;
    mHost.ReachabilityChanged(aState.listed, aIsReachable, aReason);
  }
}

void
engine::SetupAnswered(session& aSession,
                      const answer& aAnswer,
                      clock::time_point aNow)
{
  auto& request = *aSession.current;
  if (aAnswer.failed) {
    // Which values the connection has now is not known.
    request.serverConnection->retiring = true;
    request.refusedBy.push_back(request.serverConnection->server);
    ConnectionLost(aSession, aNow);
    return;
  }
  if (--request.awaitedAnswers == 0) {
    Advance(aSession, aNow);
  }
}

void
engine::BeginAnswered(session& aSession, answer aAnswer, clock::time_point aNow)
{
  auto& request = *aSession.current;
  if (aAnswer.failed) {
    request.serverConnection->transactionOpen = false;
    Refused(aSession, std::move(aAnswer), aNow);
    return;
  }
  if (aSession.IsRelay()) {
    aSession.transaction->begun = true;
    Finish(aSession, std::move(aAnswer), aNow);
    return;
  }
  const auto& leadership = LeadershipOf(request.assignedRoute->service);
  const bool isStillConfirmed =
    request.term == leadership.confirmed.term &&
    IsConfirmedPrimary(leadership, request.lastServer, aNow);
  if (request.needsPrimary && !isStillConfirmed) {
    ReleaseConnection(aSession, aNow);
    Requeue(aSession, aNow);
    return;
  }
  aSession.transaction->begun = true;
  aSession.transaction->term = request.needsPrimary ? request.term : 0;
  SendStatement(aSession, aNow);
}

void
engine::StatementAnswered(session& aSession,
                          answer aAnswer,
                          clock::time_point aNow)
{
  if (aAnswer.failed) {
    Refused(aSession, std::move(aAnswer), aNow);
  } else {
    Succeeded(aSession, std::move(aAnswer), aNow);
  }
}

void
engine::Succeeded(session& aSession, answer aAnswer, clock::time_point aNow)
{
  auto& request = *aSession.current;
  if (auto* state = Find(request.lastServer)) {
    state->Served(request.sentAt, aNow);
  }
  QueueOf(aSession).Served(aNow - request.sentAt);
  const bool isCommit = request.asked.kind == statement_kind::kCommit;
  if (aSession.transaction && !isCommit) {
    NoteDecision(aSession, "served", "in_transaction", true, aNow);
    Finish(aSession, std::move(aAnswer), aNow);
    return;
  }
  request.serverConnection->transactionOpen = false;
  const bool changed = isCommit ? aSession.transaction->wrote : request.commits;
  ReleaseConnection(aSession, aNow);
  if (isCommit) {
    aSession.transaction.reset();
  }
  if (changed) {
    Acknowledge(aSession, std::move(aAnswer), aNow);
    return;
  }
  const auto& leadership = LeadershipOf(request.assignedRoute->service);
  const bool needsConfirmation = !isCommit && request.needsPrimary;
  if (needsConfirmation &&
      (request.term != leadership.confirmed.term ||
       !IsConfirmedPrimary(leadership, request.lastServer, aNow))) {
    NoteDecision(aSession, "read_again", "lead_not_confirmed", false, aNow);
    request.mayHaveRun = true;
    Requeue(aSession, aNow);
    return;
  }
  NoteDecision(aSession, "served", isCommit ? "commit" : "read", true, aNow);
  Finish(aSession, std::move(aAnswer), aNow);
}

// Whether the commit happened before any other server can have been promoted.
bool
engine::IsConfirmed(const request& aRequest)
{
  const auto& leadership = LeadershipOf(aRequest.assignedRoute->service);
  return leadership.confirmed.term == aRequest.term &&
         leadership.confirmed.term > leadership.revoked &&
         leadership.confirmed.primary == aRequest.lastServer &&
         aRequest.committedBy <
           leadership.confirmed.askedAt + mSettings.validity;
}

void
engine::Acknowledge(session& aSession, answer aAnswer, clock::time_point aNow)
{
  auto& request = *aSession.current;
  request.held = std::move(aAnswer);
  request.committedBy = aNow;
  if (IsConfirmed(request)) {
    AcknowledgeHeld(aSession, aNow);
    return;
  }
  request.at = stage::kConfirming;
  NoteDecision(aSession, "held", "lead_not_confirmed", false, aNow);
  RequestConfirmation(request.assignedRoute->service, aNow);
}

void
engine::AcknowledgeHeld(session& aSession, clock::time_point aNow)
{
  auto& request = *aSession.current;
  if (request.held.position) {
    aSession.lastCommit =
      own_commit{ *request.held.position, request.term, aNow };
  }
  NoteDecision(aSession, "acknowledged", "confirmed", true, aNow);
  auto held = std::move(request.held);
  Finish(aSession, std::move(held), aNow);
}

void
engine::ReleaseHeldAnswers(const std::string& aService, clock::time_point aNow)
{
  const auto& leadership = LeadershipOf(aService);
  std::vector<session_id> held;
  for (const auto& [id, one] : mSessions) {
    if (one->current && one->current->at == stage::kConfirming &&
        one->current->assignedRoute->service == aService) {
      held.push_back(id);
    }
  }
  for (const auto id : held) {
    auto& one = *mSessions.at(id);
    if (IsConfirmed(*one.current)) {
      AcknowledgeHeld(one, aNow);
    } else if (leadership.confirmed.term > one.current->term) {
      Fail(one,
           failure_code::kInDoubt,
           "the primary changed before its commit was confirmed",
           aNow);
    }
    DropIfGone(id);
  }
}

void
engine::ReleaseConnection(session& aSession, clock::time_point aNow)
{
  auto* serverConnection = aSession.current->serverConnection;
  aSession.current->serverConnection = nullptr;
  if (aSession.transaction) {
    aSession.transaction->serverConnection = nullptr;
    aSession.transaction->begun = false;
  }
  if (serverConnection != nullptr) {
    ReturnConnection(*serverConnection, aNow);
  }
}

} // namespace currantshed::proxy
