#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

// How often a request is offered to a server in all, before the caller gets
// the last refusal.
constexpr unsigned kMostTries = 5;
// Reads that a server failed to run are run once more, elsewhere.
constexpr unsigned kTriesAfterFailure = 2;

std::string_view
NameOf(link_end aWhy)
{
  switch (aWhy) {
    case link_end::kBroken:
      return "broken";
    case link_end::kUnreachable:
      return "unreachable";
    case link_end::kServerFull:
      return "server_full";
    case link_end::kWrongServer:
      return "wrong_server";
    case link_end::kMalformed:
      return "malformed";
  }
  return "unknown";
}

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

void
engine::Refused(session& aSession, answer aAnswer, clock::time_point aNow)
{
  auto& request = *aSession.current;
  const auto why = *aAnswer.failed;
  // A primary that is none, or lacks what the primary has held.
  const bool isDenied =
    why.code == failure_code::kReadOnly || why.code == failure_code::kLagging;
  if (isDenied && request.needsPrimary) {
    auto& lead = LeadOf(request.under->service);
    if (lead.proof.primary == request.ranOn) {
      lead.proof.askedAt = {};
    }
    mHost.LeadDenied(request.under->service, request.term);
  }
  const bool begun = aSession.transaction && aSession.transaction->begun;
  if (!begun && aSession.IsRelay()) {
    ReleaseConnection(aSession, aNow);
    aSession.transaction.reset();
    Finish(aSession, std::move(aAnswer), aNow);
    return;
  }
  if (begun) {
    request.on->transactionOpen = aAnswer.state != transaction_state::kIdle;
  } else {
    ReleaseConnection(aSession, aNow);
    if (TryElsewhere(aSession, why, aNow)) {
      return;
    }
  }
  if (request.mayHaveRun) {
    aAnswer.failed->code = failure_code::kFailed;
  }
  // The log has the server's word, and what the caller is told instead.
  const auto word =
    absl::StrCat(std::string(NameOf(why.code)),
                 request.mayHaveRun ? "; told that it may have run" : "");
  NoteDecision(aSession, "refused", word, false, aNow);
  const bool isCommit = request.asked.kind == statement_kind::kCommit;
  if (aSession.transaction) {
    EndTransaction(aSession, aNow);
    if (!isCommit) {
      aSession.transaction = open_transaction{};
      aSession.transaction->failed = true;
    }
  }
  Finish(aSession, std::move(aAnswer), aNow);
}

// Sends the request to another server, or to the same one later, when the
// answer shows that nothing of it ran, or that running it twice is harmless.
bool
engine::TryElsewhere(session& aSession,
                     const failure& aWhy,
                     clock::time_point aNow)
{
  auto& request = *aSession.current;
  if (request.tries >= kMostTries) {
    return false;
  }
  auto* state = Find(request.ranOn);
  switch (aWhy.code) {
    case failure_code::kLagging:
      if (state != nullptr && !request.needsPrimary) {
        state->Lagged(request.floor.writtenBy, aNow);
      }
      break;
    case failure_code::kReadOnly:
      if (!request.needsPrimary) {
        return false;
      }
      break;
    case failure_code::kBusy:
      if (request.needsPrimary || !RetriesOf(request).Spend()) {
        return false;
      }
      break;
    case failure_code::kNoStatement:
      break;
    case failure_code::kFailed:
      if (request.commits || request.tries >= kTriesAfterFailure) {
        return false;
      }
      request.mayHaveRun = true;
      break;
    default:
      return false;
  }
  NoteDecision(aSession, "elsewhere", NameOf(aWhy.code), false, aNow);
  request.refusedBy.push_back(request.ranOn);
  Requeue(aSession, aNow);
  return true;
}

// The connection under the request is gone, or its time is up.
void
engine::LinkLost(session& aSession, clock::time_point aNow)
{
  auto& request = *aSession.current;
  const auto reached = request.at;
  if (request.on != nullptr) {
    request.on->user = nullptr;
    Discard(*request.on);
    request.on = nullptr;
  }
  if (aSession.IsRelay()) {
    aSession.current.reset();
    EndRelay(aSession);
    return;
  }
  const bool inTransaction = aSession.transaction.has_value();
  const bool begun = inTransaction && aSession.transaction->begun;
  if (inTransaction) {
    aSession.transaction->on = nullptr;
    aSession.transaction->begun = false;
  }
  const bool ran = reached == stage::kRunning;
  request.mayHaveRun = request.mayHaveRun || ran;
  const bool expired = aNow >= request.deadline;
  const bool mayRepeat = !begun && (!ran || !request.commits);
  if (mayRepeat && !expired && request.tries < kMostTries) {
    NoteDecision(aSession, "elsewhere", "connection_lost", false, aNow);
    request.refusedBy.push_back(request.ranOn);
    Requeue(aSession, aNow);
    return;
  }
  const bool isCommit = request.asked.kind == statement_kind::kCommit;
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
    Fail(aSession, RefusalOf(request), "no server in time", aNow);
  }
}

// The other VM sees its way to the server break, and decides what that means.
void
engine::EndRelay(session& aSession)
{
  if (aSession.current && aSession.current->at == stage::kWaiting) {
    Unqueue(aSession);
  }
  if (aSession.transaction) {
    aSession.transaction->on = nullptr;
    aSession.transaction->lost = true;
  }
  if (!aSession.gone) {
    aSession.farEnd.Close();
  }
}

void
engine::Ended(connection& aConnection, link_end aWhy, clock::time_point aNow)
{
  auto* state = Find(aConnection.server);
  if (state != nullptr) {
    if (aWhy == link_end::kServerFull) {
      state->Full(aNow);
    } else if (!aConnection.IsDirect()) {
      state->WayFailed(aConnection.via, aNow);
    } else {
      state->Failed(aNow);
      NoteReached(*state, false, NameOf(aWhy));
    }
  }
  FailOrdersOn(aConnection);
  auto* user = aConnection.user;
  aConnection.user = nullptr;
  Discard(aConnection);
  if (user == nullptr) {
    return;
  }
  const auto id = user->number;
  if (user->current) {
    user->current->on = nullptr;
    LinkLost(*user, aNow);
  } else if (user->IsRelay()) {
    EndRelay(*user);
  } else if (user->transaction) {
    user->transaction->on = nullptr;
    user->transaction->lost = true;
  }
  DropIfGone(id);
}

void
engine::NoteDecision(const session& aSession,
                     std::string_view aOutcome,
                     std::string_view aReason,
                     bool aOrdinary,
                     clock::time_point aNow)
{
  const auto& request = *aSession.current;
  const auto& lead = LeadOf(request.under->service);
  decision made;
  made.outcome = aOutcome;
  made.session = aSession.number;
  made.requestId = request.asked.id;
  made.customer = request.customer;
  made.service = request.under->service;
  made.server = request.ranOn;
  made.reason = aReason;
  made.waited = aNow - request.arrivedAt;
  made.tries = request.tries;
  made.needsPrimary = request.needsPrimary;
  if (lead.proof.term != 0) {
    made.confirmationAge = aNow - lead.proof.askedAt;
  }
  made.floor = request.floor.position;
  made.floorAge = aNow - request.floor.writtenBy;
  const auto* state = Find(request.ranOn);
  if (state != nullptr && state->leavingSince) {
    made.leavingFor = aNow - *state->leavingSince;
  }
  made.ordinary = aOrdinary;
  made.isFinal =
    aOutcome != "elsewhere" && aOutcome != "held" && aOutcome != "read_again";
  mHost.Decided(made);
}

} // namespace currantshed::proxy
