#include "currantshed/proxy/engine.hpp"

#include <algorithm>
#include <utility>

namespace currantshed::proxy {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kUpkeepInterval{ 250 };
// Time limit of a relayed statement; the requesting VM applies its own, shorter
// limits.
constexpr milliseconds kRelayTimeout{ 10000 };
// Queue timeout of a relayed statement. The requesting VM accounts for it
// within half of a target of 150 ms or more; a longer wait is better reported
// to that VM.
constexpr milliseconds kRelayWait{ 75 };

} // namespace

engine::engine(const engine_settings& aSettings,
               link_opener& aOpener,
               engine_host& aHost)
  : mSettings(aSettings)
  , mOpener(aOpener)
  , mHost(aHost)
  , mPlanner(aSettings.vm)
{
}

engine::~engine() = default;

void
engine::SetConfiguration(std::shared_ptr<const configuration> aConfiguration,
                         clock::time_point aNow)
{
  mConfiguration = std::move(aConfiguration);
  PlansChanged(aNow);
  EndResting(false);
}

void
engine::SetServers(const std::vector<server>& aServers, clock::time_point aNow)
{
  for (auto& [id, state] : mServers) {
    state.unlisted = true;
  }
  bool isAnyNew = false;
  for (const auto& listed : aServers) {
    const bool isNear = listed.failureDomain == mSettings.failureDomain;
    const auto [place, added] = mServers.try_emplace(listed.id, listed, isNear);
    auto& state = place->second;
    state.List(listed, aNow);
    isAnyNew = isAnyNew || added;
  }
  for (const auto& [id, state] : mServers) {
    if (state.unlisted) {
      mUpkept.insert(id);
    }
  }
  IndexServers();
  if (isAnyNew) {
    mNextUpkeep = aNow;
  }
  // A confirmation does not apply to a later incarnation of the server.
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
  const auto before = mPlanner.Size();
  const bool isOther = mPlanner.SetFleet(std::move(aFleet));
  if (isOther || CountsForPlans(before, mPlanner.Size())) {
    PlansChanged(aNow);
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

std::vector<heard_server>
engine::HeardSince(clock::time_point aTime) const
{
  std::vector<heard_server> heard;
  for (const auto& [id, state] : mServers) {
    if (state.heardAt >= aTime) {
      heard.push_back({ state.listed.service, id, state.heardAt });
    }
  }
  return heard;
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

} // namespace currantshed::proxy
