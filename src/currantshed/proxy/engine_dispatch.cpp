#include <algorithm>
#include <utility>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

using std::chrono::milliseconds;

// A confirmation must be valid for a little longer than the way to the server
// takes, so that requests are not sent in vain.
constexpr milliseconds kConfirmationReserve{ 20 };
// Margin subtracted from the staleness bound, for the way from the caller.
constexpr milliseconds kFloorReserve{ 50 };
constexpr milliseconds kProofPause{ 50 };
// Latency factor of the primary for reads: it is kept free for requests that
// only it can serve, unless it is much faster.
constexpr int kPrimaryPenalty = 2;
// Latency added by opening a connection.
constexpr milliseconds kOpeningTime{ 20 };
command
StatementCommand(const session& aSession, const request& aRequest)
{
  command made;
  made.customer = aRequest.customer;
  made.id = aRequest.asked.id;
  made.text = aRequest.asked.text;
  if (aRequest.asked.kind == statement_kind::kExecute) {
    made.kind = command_kind::kExecute;
    made.name = aSession.Prepared(aRequest.asked.name)->sharedName;
    made.argument = aRequest.asked.argument;
  }
  if (aRequest.asked.kind == statement_kind::kReport) {
    made.kind = command_kind::kReport;
    made.id.clear();
  }
  return made;
}

} // namespace

void
engine::Dispatch(session& aSession, clock::time_point aNow)
{
  auto& request = *aSession.current;
  Schedule(aSession, request.deadline);
  auto* on = aSession.transaction ? aSession.transaction->on : nullptr;
  if (on == nullptr) {
    if (aSession.IsRelay() && !TakesWork(aSession.relaysTo, request, aNow)) {
      TurnAway(aSession, "server_leaves", aNow);
      return;
    }
    if (!TryStart(aSession, aNow)) {
      Wait(aSession, aNow);
    }
    return;
  }
  // A change committed by the primary of an old term could never be
  // acknowledged.
  const auto& lead = LeadOf(request.under->service);
  if (request.needsPrimary && lead.proof.term > aSession.transaction->term) {
    Fail(aSession, failure_code::kAborted, "the primary has changed", aNow);
    return;
  }
  request.on = on;
  Advance(aSession, aNow);
}

bool
engine::TryStart(session& aSession, clock::time_point aNow)
{
  connection* on = nullptr;
  if (aSession.IsRelay()) {
    on = ConnectionForRelay(aSession, aNow);
  } else if (aSession.current->needsPrimary) {
    on = ConnectionForWrite(aSession, aNow);
  } else {
    on = ConnectionForRead(aSession, aNow);
  }
  if (on == nullptr) {
    return false;
  }
  Start(aSession, *on, aNow);
  return true;
}

// Sends a request that the server rejected before running it to another one.
void
engine::Requeue(session& aSession, clock::time_point aNow)
{
  auto& request = *aSession.current;
  request.on = nullptr;
  request.awaited = 0;
  if (aSession.gone) {
    NoteDecision(aSession, "caller_left", "not_run", false, aNow);
    Finish(aSession, {}, aNow);
    return;
  }
  if (!TryStart(aSession, aNow)) {
    Wait(aSession, aNow);
  }
}

void
engine::Start(session& aSession, connection& aOn, clock::time_point aNow)
{
  auto& request = *aSession.current;
  request.on = &aOn;
  ++request.tries;
  if (request.tries == 1) {
    RetriesOf(request).Earn();
  }
  aOn.user = &aSession;
  if (aSession.transaction) {
    aSession.transaction->on = &aOn;
    aSession.transaction->begun = false;
  }
  Advance(aSession, aNow);
}

// Takes the next step towards the caller's statement. Each step waits for the
// answers of the previous one, so that nothing runs with wrong session values
// or outside its transaction.
void
engine::Advance(session& aSession, clock::time_point aNow)
{
  auto& request = *aSession.current;
  auto& on = *request.on;
  const auto prelude = on.Prelude(aSession.values);
  if (!prelude.empty()) {
    request.at = stage::kPrelude;
    request.awaited = static_cast<unsigned>(prelude.size());
    on.Send(prelude, { purpose::kPrelude, aNow });
    return;
  }
  // The session setup may have delayed the request.
  const bool begun = aSession.transaction && aSession.transaction->begun;
  if (const auto why = WhyNotEntitled(aSession, *request.under, aNow)) {
    if (!begun) {
      ReleaseConnection(aSession, aNow);
    }
    Fail(aSession, why->code, why->text, aNow);
    return;
  }
  if (!begun && !TakesWork(on.server, request, aNow)) {
    ReleaseConnection(aSession, aNow);
    Requeue(aSession, aNow);
    return;
  }
  const auto& lead = LeadOf(request.under->service);
  request.ranOn = on.server;
  request.term = lead.proof.primary == on.server ? lead.proof.term : 0;
  if (aSession.transaction && !aSession.transaction->begun) {
    SendBegin(aSession, aNow);
    return;
  }
  SendStatement(aSession, aNow);
}

void
engine::SendBegin(session& aSession, clock::time_point aNow)
{
  auto& request = *aSession.current;
  command begin;
  begin.customer = request.customer;
  begin.kind = aSession.transaction->readOnly ? command_kind::kBeginReadOnly
                                              : command_kind::kBegin;
  if (aSession.transaction->readOnly || !request.needsPrimary) {
    begin.floor = MustHold(request);
  }
  request.at = stage::kBeginning;
  request.sentAt = aNow;
  request.on->transactionOpen = true;
  request.on->Send({ begin }, Expect(purpose::kBegin, request, aNow));
}

// The pending command, marked when its answer samples the position of the
// confirmed primary.
expected_answer
engine::Expect(purpose aWhy, const request& aRequest, clock::time_point aNow)
{
  const auto& lead = LeadOf(aRequest.under->service);
  const bool leads = Leads(lead, aRequest.ranOn, aNow);
  return { aWhy, aNow, leads ? lead.proof.term : 0 };
}

void
engine::SendStatement(session& aSession, clock::time_point aNow)
{
  auto& request = *aSession.current;
  auto& on = *request.on;
  if (request.asked.kind == statement_kind::kExecute) {
    const auto* prepared = aSession.Prepared(request.asked.name);
    const auto prepare = on.Prepare(*prepared);
    if (!prepare.empty()) {
      on.Send(prepare, { purpose::kPrepare, aNow });
    }
  }
  auto sent = StatementCommand(aSession, request);
  if (!aSession.transaction && !request.commits) {
    sent.floor = MustHold(request);
  }
  request.at = stage::kRunning;
  request.sentAt = aNow;
  on.Send({ sent }, Expect(purpose::kStatement, request, aNow));
}

// Minimum log position for a read. It is sent to the primary as well: a primary
// that has restarted since its confirmation holds no data, and its connections
// break long before the listing shows the restart.
std::optional<position::log_position>
engine::MustHold(const request& aRequest)
{
  return aRequest.needsPrimary
           ? LeadOf(aRequest.under->service).samples.Newest()
           : aRequest.floor.position;
}

engine::lead_state&
engine::LeadOf(const std::string& aService)
{
  return mLeads[aService];
}

bool
engine::Leads(const lead_state& aLead,
              const upstream::server_id& aServer,
              clock::time_point aNow) const
{
  return aLead.proof.term > aLead.revoked && aLead.proof.primary == aServer &&
         aNow < aLead.proof.askedAt + mSettings.validity;
}

// The lowest position that is fresh enough: a higher one would exclude replicas
// that could serve the read.
read_floor
engine::FloorOf(const session& aSession, clock::time_point aNow)
{
  const auto& route = *aSession.current->under;
  const auto& lead = LeadOf(route.service);
  const auto since = aNow - (route.maxStaleness - kFloorReserve);
  const auto lowest = lead.samples.LowestSince(since);
  if (!lowest) {
    return {};
  }
  read_floor floor{ *lowest, lead.samples.WrittenBy(*lowest).value_or(aNow) };
  const auto& own = aSession.lastCommit;
  // A commit of an older term is covered by every position of the current term,
  // or was rolled back when it began.
  const bool ownCounts = route.policy == read_policy::kReadYourWrites && own &&
                         own->term == lead.proof.term;
  if (ownCounts && own->position > *floor.position) {
    floor = { own->position, own->at };
  }
  return floor;
}

connection*
engine::ConnectionForWrite(session& aSession, clock::time_point aNow)
{
  const auto& service = aSession.current->under->service;
  auto& lead = LeadOf(service);
  if (!Leads(lead, lead.proof.primary, aNow + kConfirmationReserve)) {
    AskForProof(service, aNow);
    return nullptr;
  }
  auto* primary = Find(lead.proof.primary);
  if (primary == nullptr || !primary->TakesWork(mSettings.leavingUse, aNow)) {
    return nullptr;
  }
  return Acquire(*primary, aSession, aNow);
}

connection*
engine::ConnectionForRead(session& aSession, clock::time_point aNow)
{
  auto& request = *aSession.current;
  auto& lead = LeadOf(request.under->service);
  request.floor = FloorOf(aSession, aNow);
  server_state* best = nullptr;
  clock::duration bestTime = clock::duration::max();
  bool needsProof = false;
  for (auto* one : ServersOf(request.under->service)) {
    auto& state = Planned(*one);
    ++mLookedAt;
    const auto& id = state.listed.id;
    if (!CanServe(state, request, lead, aNow)) {
      needsProof = needsProof || id == lead.proof.primary;
      continue;
    }
    const auto& customer = request.customer;
    const bool isIdle =
      state.Idle(aSession.values, false, &customer) != nullptr;
    if (!isIdle && (mOnlyIdle || state.OpenWay(aNow, customer) == nullptr)) {
      continue;
    }
    auto time = state.Expected(aNow);
    time += isIdle ? milliseconds{ 0 } : kOpeningTime;
    time *= id == lead.proof.primary ? kPrimaryPenalty : 1;
    if (time < bestTime) {
      best = &state;
      bestTime = time;
    }
  }
  if (!request.floor.position || (best == nullptr && needsProof)) {
    AskForProof(request.under->service, aNow);
  }
  return best == nullptr ? nullptr : Acquire(*best, aSession, aNow);
}

bool
engine::CanServe(const server_state& aServer,
                 const request& aRequest,
                 const lead_state& aLead,
                 clock::time_point aNow) const
{
  const auto& id = aServer.listed.id;
  const auto& refused = aRequest.refusedBy;
  if (std::find(refused.begin(), refused.end(), id) != refused.end() ||
      !aServer.IsReachable(aNow) ||
      !aServer.TakesWork(mSettings.leavingUse, aNow)) {
    return false;
  }
  if (id == aLead.proof.primary) {
    return Leads(aLead, id, aNow + kConfirmationReserve);
  }
  if (aServer.listed.draining) {
    return false;
  }
  if (!aRequest.floor.position) {
    return false;
  }
  if (aServer.applied && *aServer.applied >= *aRequest.floor.position) {
    return true;
  }
  return aNow - aRequest.floor.writtenBy >= aServer.Lag(aNow);
}

// Whether the request may still be sent to the server. The use of a draining
// server is limited in time, independently of its replacement: it may exit at
// any time after its own grace period, and without this limit it was sent
// requests 11 s after it announced that it drains. State queries are always
// allowed.
bool
engine::TakesWork(const upstream::server_id& aServer,
                  const request& aRequest,
                  clock::time_point aNow) const
{
  if (aRequest.asked.kind == statement_kind::kReport) {
    return true;
  }
  const auto found = mServers.find(aServer);
  return found != mServers.end() &&
         found->second.TakesWork(mSettings.leavingUse, aNow);
}

void
engine::AskForProof(const std::string& aService, clock::time_point aNow)
{
  auto& lead = LeadOf(aService);
  if (aNow >= lead.wantedAt + kProofPause) {
    lead.wantedAt = aNow;
    mHost.NeedsConfirmation(aService);
  }
}

// Connection for a relayed request: the other VM has chosen the server, and
// only direct connections are used.
connection*
engine::ConnectionForRelay(session& aSession, clock::time_point aNow)
{
  auto* state = Find(aSession.relaysTo);
  if (state == nullptr || state->IsAvoided(aNow)) {
    EndRelay(aSession);
    return nullptr;
  }
  if (!TakesWork(aSession.relaysTo, *aSession.current, aNow)) {
    return nullptr;
  }
  const auto& customer = aSession.current->customer;
  auto* idle = state->Idle(aSession.values, true, &customer);
  if (idle == nullptr && !mOnlyIdle &&
      Planned(*state).MayOpenFor(customer, aNow)) {
    OpenConnection(*state, path{}, customer, aNow);
  }
  return idle;
}

} // namespace currantshed::proxy
