#include <algorithm>
#include <utility>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

// Whether the server itself has answered: what another VM on the way answers
// by itself has no position.
bool
IsServersWord(const connection& aConnection, const answer& aAnswer)
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
    state->heardAt = aNow;
    NoteReached(*state, true, "answered");
  } else {
    mRelaysHeard[aConnection.via] = aNow;
  }
  if (aAt) {
    state->At(*aAt, LeadOf(aConnection.service).samples, aNow);
  }
  PumpOrders(aConnection.server, aNow);
  Pump(aConnection.service, aNow);
}

void
engine::Answered(connection& aConnection,
                 const expected_answer& aExpected,
                 answer aAnswer,
                 clock::time_point aNow)
{
  Learn(aConnection, aExpected, aAnswer, aNow);
  if (!aConnection.IsDirect()) {
    mRelaysHeard[aConnection.via] = aNow;
  }
  if (aExpected.why == purpose::kControl) {
    const bool isServers = IsServersWord(aConnection, aAnswer);
    EndOrder(aExpected.order, { aAnswer.report, isServers, aExpected.sentAt });
    if (aConnection.IsIdle()) {
      GiveBack(aConnection, aNow);
    }
    return;
  }
  auto* user = aConnection.user;
  if (aExpected.why == purpose::kRollback || user == nullptr) {
    // A rollback that failed leaves the connection in an unknown state.
    aConnection.retiring = aConnection.retiring || aAnswer.failed.has_value();
    if (aConnection.IsQuiet()) {
      GiveBack(aConnection, aNow);
    }
    return;
  }
  const auto id = user->number;
  switch (aExpected.why) {
    case purpose::kPrelude:
      PreludeAnswered(*user, aAnswer, aNow);
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
engine::Learn(connection& aConnection,
              const expected_answer& aExpected,
              const answer& aAnswer,
              clock::time_point aNow)
{
  auto* state = Find(aConnection.server);
  if (state == nullptr) {
    return;
  }
  if (IsServersWord(aConnection, aAnswer)) {
    state->heardAt = aNow;
    NoteReached(*state, true, "answered");
  }
  if (!aAnswer.position) {
    return;
  }
  auto& lead = LeadOf(aConnection.service);
  const bool isSample = aExpected.confirmedTerm != 0 &&
                        aExpected.confirmedTerm == lead.proof.term &&
                        lead.proof.primary == aConnection.server;
  if (isSample) {
    lead.samples.Add(*aAnswer.position, aExpected.sentAt);
  }
  state->At(*aAnswer.position, lead.samples, aNow);
}

void
engine::NoteReached(server_state& aState,
                    bool aIsReached,
                    std::string_view aReason)
{
  if (aState.reached != aIsReached) {
    aState.reached = aIsReached;
    mHost.Reached(aState.listed, aIsReached, aReason);
  }
}

void
engine::PreludeAnswered(session& aSession,
                        const answer& aAnswer,
                        clock::time_point aNow)
{
  auto& request = *aSession.current;
  if (aAnswer.failed) {
    // Which values the connection has now is not known.
    request.on->retiring = true;
    request.refusedBy.push_back(request.on->server);
    LinkLost(aSession, aNow);
    return;
  }
  if (--request.awaited == 0) {
    Advance(aSession, aNow);
  }
}

void
engine::BeginAnswered(session& aSession, answer aAnswer, clock::time_point aNow)
{
  auto& request = *aSession.current;
  if (aAnswer.failed) {
    request.on->transactionOpen = false;
    Refused(aSession, std::move(aAnswer), aNow);
    return;
  }
  if (aSession.IsRelay()) {
    aSession.transaction->begun = true;
    Finish(aSession, std::move(aAnswer), aNow);
    return;
  }
  const auto& lead = LeadOf(request.under->service);
  const bool stillLeads =
    request.term == lead.proof.term && Leads(lead, request.ranOn, aNow);
  if (request.needsPrimary && !stillLeads) {
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
  if (auto* state = Find(request.ranOn)) {
    state->Served(request.sentAt, aNow);
  }
  LaneOf(aSession).Served(aNow - request.sentAt);
  const bool isCommit = request.asked.kind == statement_kind::kCommit;
  if (aSession.transaction && !isCommit) {
    NoteDecision(aSession, "served", "in_transaction", true, aNow);
    Finish(aSession, std::move(aAnswer), aNow);
    return;
  }
  request.on->transactionOpen = false;
  const bool changed = isCommit ? aSession.transaction->wrote : request.commits;
  ReleaseConnection(aSession, aNow);
  if (isCommit) {
    aSession.transaction.reset();
  }
  if (changed) {
    Acknowledge(aSession, std::move(aAnswer), aNow);
    return;
  }
  const auto& lead = LeadOf(request.under->service);
  const bool restsOnLead = !isCommit && request.needsPrimary;
  if (restsOnLead &&
      (request.term != lead.proof.term || !Leads(lead, request.ranOn, aNow))) {
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
  const auto& lead = LeadOf(aRequest.under->service);
  return lead.proof.term == aRequest.term && lead.proof.term > lead.revoked &&
         lead.proof.primary == aRequest.ranOn &&
         aRequest.committedBy < lead.proof.askedAt + mSettings.validity;
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
  AskForProof(request.under->service, aNow);
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
engine::ReleaseHeld(const std::string& aService, clock::time_point aNow)
{
  const auto& lead = LeadOf(aService);
  std::vector<session_id> held;
  for (const auto& [id, one] : mSessions) {
    if (one->current && one->current->at == stage::kConfirming &&
        one->current->under->service == aService) {
      held.push_back(id);
    }
  }
  for (const auto id : held) {
    auto& one = *mSessions.at(id);
    if (IsConfirmed(*one.current)) {
      AcknowledgeHeld(one, aNow);
    } else if (lead.proof.term > one.current->term) {
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
  auto* on = aSession.current->on;
  aSession.current->on = nullptr;
  if (aSession.transaction) {
    aSession.transaction->on = nullptr;
    aSession.transaction->begun = false;
  }
  if (on != nullptr) {
    GiveBack(*on, aNow);
  }
}

} // namespace currantshed::proxy
