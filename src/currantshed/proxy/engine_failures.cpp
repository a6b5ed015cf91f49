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
constexpr unsigned kMostTries = 5;
// Reads that failed on a server are retried once on another one.
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

} // namespace

void
engine::Refused(session& aSession, answer aAnswer, clock::time_point aNow)
{
  auto& request = *aSession.current;
  const auto why = *aAnswer.failed;
  // The server is not the primary, or lacks positions that the primary had.
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
  // The log contains the server's code, and what the caller is told instead.
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

// Retries the request on another server, or later on the same one, when the
// answer shows that it has not run or when it is idempotent.
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

// The request's connection was lost, or its deadline has passed.
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

// Closes the relay session: the other VM sees its connection close, and decides
// what that means.
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
