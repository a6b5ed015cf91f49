#include "currantshed/proxy/engine.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace currantshed::proxy {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMaintenanceInterval{ 250 };
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
  , mRandom(std::accumulate(aSettings.vm.begin(),
                            aSettings.vm.end(),
                            std::uint64_t{ 0 },
                            [](std::uint64_t aSum, char aOne) {
                              return aSum * 31 +
                                     static_cast<unsigned char>(aOne);
                            }))
{
}

engine::~engine() = default;

void
engine::SetConfiguration(std::shared_ptr<const configuration> aConfiguration,
                         clock::time_point aNow)
{
  mConfiguration = std::move(aConfiguration);
  InvalidatePlans(aNow);
  CloseIdleSessions(false);
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
    state.Update(listed, aNow);
    isAnyNew = isAnyNew || added;
  }
  for (const auto& [id, state] : mServers) {
    if (state.unlisted) {
      mMaintained.insert(id);
    }
  }
  IndexServers();
  if (isAnyNew) {
    mNextMaintenance = aNow;
  }
  // A confirmation does not apply to a later incarnation of the server.
  for (auto& [service, leadership] : mLeadership) {
    const auto* primary = Find(leadership.confirmed.primary);
    if (primary != nullptr &&
        !primary->IsOfCurrentIncarnation(leadership.confirmed.askedAt)) {
      leadership.confirmed.askedAt = {};
    }
  }
  for (const auto& [name, queue] : mQueues) {
    DispatchQueued(name, aNow);
  }
}

void
engine::SetFleet(std::vector<fleet_vm> aFleet, clock::time_point aNow)
{
  const auto before = mPlanner.Size();
  const bool isOther = mPlanner.SetFleet(std::move(aFleet));
  if (isOther || AffectsPlans(before, mPlanner.Size())) {
    InvalidatePlans(aNow);
  }
}

void
engine::Confirm(const std::string& aService,
                const confirmation& aConfirmation,
                clock::time_point aNow)
{
  auto& leadership = LeadershipOf(aService);
  const auto* primary = Find(aConfirmation.primary);
  const bool isOfOldIncarnation =
    primary != nullptr &&
    !primary->IsOfCurrentIncarnation(aConfirmation.askedAt);
  if (aConfirmation.term < leadership.confirmed.term ||
      aConfirmation.term <= leadership.revoked || isOfOldIncarnation) {
    return;
  }
  if (aConfirmation.term > leadership.confirmed.term) {
    // Positions of the old term may have been rolled back.
    leadership.samples = {};
  } else if (aConfirmation.askedAt <= leadership.confirmed.askedAt) {
    return;
  }
  leadership.confirmed = aConfirmation;
  ReleaseHeldAnswers(aService, aNow);
  DispatchQueued(aService, aNow);
}

void
engine::AddSample(const std::string& aService, const position_sample& aSample)
{
  auto& leadership = LeadershipOf(aService);
  if (aSample.term == leadership.confirmed.term) {
    leadership.samples.Add(aSample.position, aSample.askedAt);
  }
}

void
engine::Revoke(const std::string& aService, position::term_id aTerm)
{
  auto& leadership = LeadershipOf(aService);
  if (aTerm == 0 && leadership.confirmed.term <= leadership.revoked) {
    leadership.confirmed.askedAt = {};
  }
  leadership.revoked = aTerm == 0 ? 0 : std::max(leadership.revoked, aTerm);
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
  made->relayTarget = aServer;
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
               session_statement aStatement,
               clock::time_point aNow)
{
  mDiscarded.clear();
  const auto found = mSessions.find(aSession);
  if (found == mSessions.end()) {
    return;
  }
  auto& from = *found->second;
  if (from.current || !from.backlog.empty()) {
    from.backlog.push_back(std::move(aStatement));
    return;
  }
  Accept(from, std::move(aStatement), aNow);
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
  closed.callerLeft = true;
  closed.backlog.clear();
  if (closed.current && closed.current->progress == stage::kAwaitingToken) {
    RecordDecision(closed, "caller_left", "waiting", false, aNow);
    closed.current.reset();
  } else if (closed.current && closed.current->progress == stage::kQueued) {
    Dequeue(closed);
    RecordDecision(closed, "caller_left", "waiting", false, aNow);
    ReturnToken(closed);
    closed.current.reset();
  } else if (closed.current && closed.current->progress == stage::kConfirming) {
    closed.current.reset();
  }
  if (!closed.current) {
    EndTransaction(closed, aNow);
  }
  RemoveIfCallerLeft(aSession);
}

void
engine::Drain()
{
  mIsDraining = true;
  std::vector<session*> idle;
  for (const auto& [id, one] : mSessions) {
    const bool isIdle =
      !one->current && !one->transaction && one->backlog.empty();
    if (isIdle && !one->client.HasUnread()) {
      idle.push_back(one.get());
    }
  }
  for (auto* one : idle) {
    one->client.Close();
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
    one->client.Close();
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
engine::ServicesUsedSince(clock::time_point aTime) const
{
  std::vector<std::string> used;
  for (const auto& [service, leadership] : mLeadership) {
    if (leadership.lastUsedAt >= aTime) {
      used.push_back(service);
    }
  }
  return used;
}

std::optional<clock::time_point>
engine::LastContactAt(const upstream::server_id& aServer) const
{
  const auto found = mServers.find(aServer);
  if (found == mServers.end() ||
      found->second.lastContactAt == clock::time_point{}) {
    return std::nullopt;
  }
  return found->second.lastContactAt;
}

std::vector<server_contact>
engine::ContactsSince(clock::time_point aTime) const
{
  std::vector<server_contact> heard;
  for (const auto& [id, state] : mServers) {
    if (state.lastContactAt >= aTime) {
      heard.push_back({ state.listed.service, id, state.lastContactAt });
    }
  }
  return heard;
}

void
engine::Tick(clock::time_point aNow)
{
  mDiscarded.clear();
  ExpireControls(aNow);
  while (!mTimers.empty() && mTimers.begin()->first <= aNow) {
    const auto id = mTimers.begin()->second;
    mTimers.erase(mTimers.begin());
    const auto found = mSessions.find(id);
    if (found != mSessions.end()) {
      Expire(*found->second, aNow);
      RemoveIfCallerLeft(id);
    }
  }
  if (aNow >= mNextMaintenance) {
    mNextMaintenance = aNow + kMaintenanceInterval;
    AvoidSilentRelays(aNow);
    CloseUnneededConnections(aNow);
    for (const auto& [name, queue] : mQueues) {
      DispatchQueued(name, aNow);
    }
  }
}

clock::time_point
engine::NextTick() const
{
  auto next = mNextMaintenance;
  if (!mTimers.empty()) {
    next = std::min(next, mTimers.begin()->first);
  }
  for (const auto& [number, one] : mControls) {
    next = std::min(next, one.deadline);
  }
  return next;
}

} // namespace currantshed::proxy
