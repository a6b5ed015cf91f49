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
constexpr milliseconds kConfirmationRequestInterval{ 50 };
// Latency added by opening a connection.
constexpr milliseconds kConnectLatency{ 20 };

// What a relay is told about the request.
request_attributes
AttributesOf(const request& aRequest, clock::time_point aNow)
{
  const auto left = [aNow](clock::time_point aUntil) {
    return std::chrono::floor<milliseconds>(aUntil - aNow);
  };
  const auto target = aRequest.arrivedAt + aRequest.assignedRoute->target;
  return { aRequest.priority,
           left(target),
           left(aRequest.deadline),
           std::max(aRequest.tries, 1U) - 1,
           aRequest.needsPrimary };
}

command
StatementCommand(const session& aSession,
                 const request& aRequest,
                 clock::time_point aNow)
{
  command made;
  made.customer = aRequest.customer;
  made.attributes = AttributesOf(aRequest, aNow);
  made.id = aRequest.statement.id;
  made.text = aRequest.statement.text;
  if (aRequest.statement.kind == statement_kind::kExecute) {
    made.kind = command_kind::kExecute;
    made.name = aSession.Prepared(aRequest.statement.name)->sharedName;
    made.argument = aRequest.statement.argument;
  }
  if (aRequest.statement.kind == statement_kind::kReport) {
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
  ScheduleTimer(aSession, request.deadline);
  auto* serverConnection =
    aSession.transaction ? aSession.transaction->serverConnection : nullptr;
  if (serverConnection == nullptr) {
    if (aSession.IsRelay() &&
        !AcceptsWork(aSession.relayTarget, request, aNow)) {
      Reject(aSession, "server_leaves", aNow);
      return;
    }
    if (FailIfUnreachable(aSession, aNow)) {
      return;
    }
    if (!TryStart(aSession, aNow)) {
      Enqueue(aSession, aNow);
    }
    return;
  }
  // A change committed by the primary of an old term could never be
  // acknowledged.
  const auto& leadership = LeadershipOf(request.assignedRoute->service);
  if (request.needsPrimary &&
      leadership.confirmed.term > aSession.transaction->term) {
    Fail(aSession, failure_code::kAborted, "the primary has changed", aNow);
    return;
  }
  request.serverConnection = serverConnection;
  Advance(aSession, aNow);
}

// Whether the request no longer needs a place in the dispatch queue: it has a
// connection, or waits for a token again.
bool
engine::TryStart(session& aSession, clock::time_point aNow)
{
  if (!TakeTokenAgain(aSession, aNow)) {
    return true;
  }
  connection* serverConnection = nullptr;
  if (aSession.IsRelay()) {
    serverConnection = ConnectionForRelay(aSession, aNow);
  } else if (aSession.current->needsPrimary) {
    serverConnection = ConnectionForWrite(aSession, aNow);
  } else {
    serverConnection = ConnectionForRead(aSession, aNow);
  }
  if (serverConnection == nullptr) {
    return false;
  }
  Start(aSession, *serverConnection, aNow);
  return true;
}

// Sends a request that the server rejected before running it to another one.
void
engine::Requeue(session& aSession, clock::time_point aNow)
{
  auto& request = *aSession.current;
  request.serverConnection = nullptr;
  request.awaitedAnswers = 0;
  if (aSession.callerLeft) {
    RecordDecision(aSession, "caller_left", "not_run", false, aNow);
    Finish(aSession, {}, aNow);
    return;
  }
  if (FailIfUnreachable(aSession, aNow)) {
    return;
  }
  if (!TryStart(aSession, aNow)) {
    Enqueue(aSession, aNow);
  }
}

void
engine::Start(session& aSession,
              connection& aServerConnection,
              clock::time_point aNow)
{
  auto& request = *aSession.current;
  request.serverConnection = &aServerConnection;
  ++request.tries;
  ChargeCustomer(aSession);
  if (request.fairTicket != nullptr) {
    request.fairTicket->Dispatched();
  }
  if (request.tries == 1) {
    RetriesOf(request).Deposit();
  }
  aServerConnection.user = &aSession;
  NoteUse(aServerConnection, aNow);
  if (aSession.transaction) {
    aSession.transaction->serverConnection = &aServerConnection;
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
  auto& serverConnection = *request.serverConnection;
  const auto setup = serverConnection.SessionSetup(aSession.values);
  if (!setup.empty()) {
    request.progress = stage::kSessionSetup;
    request.awaitedAnswers = static_cast<unsigned>(setup.size());
    serverConnection.Send(setup, { purpose::kSessionSetup, aNow });
    return;
  }
  // The session setup may have delayed the request.
  const bool begun = aSession.transaction && aSession.transaction->begun;
  if (const auto why =
        AuthorizationFailure(aSession, *request.assignedRoute, aNow)) {
    if (!begun) {
      ReleaseConnection(aSession, aNow);
    }
    Fail(aSession, why->code, why->text, aNow);
    return;
  }
  if (!begun && !AcceptsWork(serverConnection.server, request, aNow)) {
    ReleaseConnection(aSession, aNow);
    Requeue(aSession, aNow);
    return;
  }
  if (!begun && !request.token.PermitsSend(aNow)) {
    ReleaseConnection(aSession, aNow);
    Requeue(aSession, aNow);
    return;
  }
  if (!begun) {
    request.token.OnSent();
  }
  const auto& leadership = LeadershipOf(request.assignedRoute->service);
  request.lastServer = serverConnection.server;
  request.term = leadership.confirmed.primary == serverConnection.server
                   ? leadership.confirmed.term
                   : 0;
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
  begin.attributes = AttributesOf(request, aNow);
  begin.kind = aSession.transaction->readOnly ? command_kind::kBeginReadOnly
                                              : command_kind::kBegin;
  if (aSession.transaction->readOnly || !request.needsPrimary) {
    begin.floor = RequiredPosition(request);
  }
  request.progress = stage::kBeginning;
  request.sentAt = aNow;
  request.serverConnection->transactionOpen = true;
  request.serverConnection->Send({ begin },
                                 MakePending(purpose::kBegin, request, aNow));
}

// The pending command, marked when its answer samples the position of the
// confirmed primary.
pending_command
engine::MakePending(purpose aWhy,
                    const request& aRequest,
                    clock::time_point aNow)
{
  const auto& leadership = LeadershipOf(aRequest.assignedRoute->service);
  const bool isConfirmed =
    IsConfirmedPrimary(leadership, aRequest.lastServer, aNow);
  return { aWhy, aNow, isConfirmed ? leadership.confirmed.term : 0 };
}

void
engine::SendStatement(session& aSession, clock::time_point aNow)
{
  auto& request = *aSession.current;
  auto& serverConnection = *request.serverConnection;
  if (request.statement.kind == statement_kind::kExecute) {
    const auto* prepared = aSession.Prepared(request.statement.name);
    const auto prepare = serverConnection.Prepare(*prepared);
    if (!prepare.empty()) {
      serverConnection.Send(prepare, { purpose::kPrepare, aNow });
    }
  }
  auto sent = StatementCommand(aSession, request, aNow);
  if (!aSession.transaction && !request.commits) {
    sent.floor = RequiredPosition(request);
  }
  request.progress = stage::kRunning;
  request.sentAt = aNow;
  serverConnection.Send({ sent },
                        MakePending(purpose::kStatement, request, aNow));
}

// Minimum log position for a read. It is sent to the primary as well: a primary
// that has restarted since its confirmation holds no data, and its connections
// break long before the listing shows the restart.
std::optional<position::log_position>
engine::RequiredPosition(const request& aRequest)
{
  return aRequest.needsPrimary
           ? LeadershipOf(aRequest.assignedRoute->service).samples.Newest()
           : aRequest.floor.position;
}

engine::leadership_state&
engine::LeadershipOf(const std::string& aService)
{
  return mLeadership[aService];
}

bool
engine::IsConfirmedPrimary(const leadership_state& aLeadership,
                           const upstream::server_id& aServer,
                           clock::time_point aNow) const
{
  return aLeadership.confirmed.term > aLeadership.revoked &&
         aLeadership.confirmed.primary == aServer &&
         aNow < aLeadership.confirmed.askedAt + mSettings.validity;
}

// The lowest position that is fresh enough: a higher one would exclude replicas
// that could serve the read.
read_floor
engine::FloorOf(const session& aSession, clock::time_point aNow)
{
  const auto& route = *aSession.current->assignedRoute;
  const auto& leadership = LeadershipOf(route.service);
  const auto since = aNow - (route.maxStaleness - kFloorReserve);
  const auto lowest = leadership.samples.LowestSince(since);
  if (!lowest) {
    return {};
  }
  read_floor floor{ *lowest,
                    leadership.samples.WrittenBy(*lowest).value_or(aNow) };
  const auto& own = aSession.lastCommit;
  // A commit of an older term is covered by every position of the current term,
  // or was rolled back when it began.
  const bool ownCounts = route.policy == read_policy::kReadYourWrites && own &&
                         own->term == leadership.confirmed.term;
  if (ownCounts && own->position > *floor.position) {
    floor = { own->position, own->acknowledgedAt };
  }
  return floor;
}

connection*
engine::ConnectionForWrite(session& aSession, clock::time_point aNow)
{
  const auto& service = aSession.current->assignedRoute->service;
  auto& leadership = LeadershipOf(service);
  if (!IsConfirmedPrimary(leadership,
                          leadership.confirmed.primary,
                          aNow + kConfirmationReserve)) {
    RequestConfirmation(service, aNow);
    return nullptr;
  }
  auto* primary = Find(leadership.confirmed.primary);
  if (primary == nullptr ||
      !primary->AcceptsWork(mSettings.drainGracePeriod, aNow)) {
    return nullptr;
  }
  return Acquire(*primary, aSession, aNow);
}

connection*
engine::ConnectionForRead(session& aSession, clock::time_point aNow)
{
  auto& request = *aSession.current;
  auto& leadership = LeadershipOf(request.assignedRoute->service);
  request.floor = FloorOf(aSession, aNow);
  request.unservable = false;
  const auto& servers = ServersOf(request.assignedRoute->service);
  std::vector<balance::candidate> candidates;
  candidates.reserve(servers.size());
  bool needsConfirmation = false;
  for (auto* one : servers) {
    ++mServersExamined;
    auto& state = WithPlan(*one);
    candidates.push_back(CandidateFor(state, aSession, leadership, aNow));
    auto& candidate = candidates.back();
    candidate.hasConnection =
      candidate.hasConnection && IsWithinLimitForRead(state, aSession, aNow);
    if (state.health.TakeReturned(aNow)) {
      mHost.ServerReturned(state.listed);
    }
    needsConfirmation = needsConfirmation || (candidates.back().isPrimary &&
                                              !candidates.back().canServe);
  }
  // A read that is late anyway is served as long as its caller waits.
  const auto target = request.arrivedAt + request.assignedRoute->target;
  const auto until = aNow < target ? target : request.deadline;
  const auto made = balance::ChooseServer(candidates, until - aNow, mRandom());
  const bool isSent = made.what == balance::choice::action::kSend;
  request.unservable = made.what == balance::choice::action::kRefuse;
  if (made.retryIn) {
    mNextMaintenance = std::min(mNextMaintenance, aNow + *made.retryIn);
  }
  if (!request.floor.position || (!isSent && needsConfirmation)) {
    RequestConfirmation(request.assignedRoute->service, aNow);
  }
  return isSent ? Acquire(*servers[made.index], aSession, aNow) : nullptr;
}

balance::candidate
engine::CandidateFor(server_state& aServer,
                     const session& aSession,
                     const leadership_state& aLeadership,
                     clock::time_point aNow) const
{
  const auto& request = *aSession.current;
  balance::candidate made;
  made.isPrimary = aServer.listed.id == aLeadership.confirmed.primary;
  made.canServe = CanServe(aServer, request, aLeadership, aNow);
  const bool isIdle =
    aServer.FindIdle(aSession.values, false, &request.customer) != nullptr;
  made.hasConnection =
    isIdle ||
    (!mOnlyIdle && aServer.PathToOpen(aNow, request.customer) != nullptr);
  made.expected = aServer.ExpectedLatency(aNow) +
                  (isIdle ? milliseconds{ 0 } : kConnectLatency);
  if (aServer.reportedLoad) {
    made.load = { aServer.reportedLoad->expectedWait,
                  aServer.reportedLoad->queued,
                  aNow - aServer.reportedLoadAt };
  }
  made.share = aServer.health.Share(aNow);
  // Only a session's own commit is a fixed position that a replica comes to
  // have; the position that bounds the staleness moves on with time.
  const auto& own = aSession.lastCommit;
  const bool isFixed = own && request.floor.position == own->position;
  if (isFixed && !made.isPrimary && !aServer.listed.draining &&
      aServer.IsReachable(aNow)) {
    made.catchesUpIn = std::max<clock::duration>(
      aServer.Lag(aNow) - (aNow - request.floor.writtenBy), milliseconds{ 0 });
  }
  return made;
}

bool
engine::CanServe(const server_state& aServer,
                 const request& aRequest,
                 const leadership_state& aLeadership,
                 clock::time_point aNow) const
{
  const auto& id = aServer.listed.id;
  const auto& rejected = aRequest.rejectedBy;
  if (std::find(rejected.begin(), rejected.end(), id) != rejected.end() ||
      !aServer.IsReachable(aNow) ||
      !aServer.AcceptsWork(mSettings.drainGracePeriod, aNow)) {
    return false;
  }
  if (id == aLeadership.confirmed.primary) {
    return IsConfirmedPrimary(aLeadership, id, aNow + kConfirmationReserve);
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
engine::AcceptsWork(const upstream::server_id& aServer,
                    const request& aRequest,
                    clock::time_point aNow) const
{
  if (aRequest.statement.kind == statement_kind::kReport) {
    return true;
  }
  const auto found = mServers.find(aServer);
  return found != mServers.end() &&
         found->second.AcceptsWork(mSettings.drainGracePeriod, aNow);
}

void
engine::RequestConfirmation(const std::string& aService, clock::time_point aNow)
{
  auto& leadership = LeadershipOf(aService);
  if (aNow >= leadership.requestedAt + kConfirmationRequestInterval) {
    leadership.requestedAt = aNow;
    mHost.NeedsConfirmation(aService);
  }
}

// Answers a relayed request that has not been sent to its unreachable server.
// The other VM then tries another server or path at once. One that sends no
// attributes doesn't know this answer: its session is closed instead.
bool
engine::FailIfUnreachable(session& aSession, clock::time_point aNow)
{
  if (!aSession.IsRelay() || !aSession.current->attributes) {
    return false;
  }
  const auto* state = Find(aSession.relayTarget);
  if (state != nullptr && !state->IsAvoided(aNow)) {
    return false;
  }
  Fail(aSession,
       RefusalCode(*aSession.current),
       std::string(kServerUnreachable),
       aNow);
  return true;
}

// Connection for a relayed request: the other VM has chosen the server, and
// only direct connections are used.
connection*
engine::ConnectionForRelay(session& aSession, clock::time_point aNow)
{
  auto* state = Find(aSession.relayTarget);
  if (state == nullptr || state->IsAvoided(aNow)) {
    EndRelay(aSession);
    return nullptr;
  }
  if (!AcceptsWork(aSession.relayTarget, *aSession.current, aNow)) {
    return nullptr;
  }
  const auto& customer = aSession.current->customer;
  auto* idle = state->FindIdle(aSession.values, true, &customer);
  if (!IsWithinLimit(*state, aSession, idle == nullptr, aNow)) {
    return nullptr;
  }
  if (idle == nullptr && !mOnlyIdle &&
      WithPlan(*state).MayOpenFor(customer, aNow)) {
    OpenConnection(*state, path{}, customer, aNow);
  }
  return idle;
}

} // namespace currantshed::proxy
