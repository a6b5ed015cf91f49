#include "test/matrix/pooler_node.hpp"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "currantshed/policy/configuration_record.hpp"
#include "test/matrix/steps.hpp"

namespace currantshed::matrix {

namespace {

using std::chrono::milliseconds;
using upstream::batch_end;

constexpr milliseconds kConnectTime{ 12 };
constexpr milliseconds kProbeTimeout{ 150 };
constexpr milliseconds kCommandTimeout{ 1000 };
constexpr milliseconds kRetransmission{ 20 };
constexpr milliseconds kBeatInterval{ 100 };
constexpr milliseconds kReadInterval{ 250 };
constexpr milliseconds kDrainCheck{ 10 };
constexpr milliseconds kTransactionIdle{ 800 };
constexpr milliseconds kComeBack{ 200 };
constexpr milliseconds kBreakDelay{ 5 };

const std::string kTermsKey = "terms";
const std::string kConfigurationKey = "configuration";

bool
IsInTransaction(group::operation aKind)
{
  return aKind == group::operation::kStatement ||
         aKind == group::operation::kCommit ||
         aKind == group::operation::kRollback;
}

upstream::reply
IndeterminateReply()
{
  upstream::reply indeterminate;
  indeterminate.end = batch_end::kIndeterminate;
  return indeterminate;
}

/// Passes on half of the rows of an interrupted reply as if they were all of
/// it.
void
CutInHalf(upstream::reply& aReply)
{
  for (auto& result : aReply.results) {
    if (result.columns.size() == 1 && result.columns[0] == "value") {
      result.cells.resize(result.cells.size() / 2);
    }
  }
}

} // namespace

pooler_node::pooler_node(surroundings& aAround,
                         std::string aVm,
                         std::string aDomain)
  : process(aAround.time, aAround.faults, std::move(aVm))
  , mAround(aAround)
  , mDomain(std::move(aDomain))
{
}

void
pooler_node::SetPeers(std::vector<pooler_node*> aPeers)
{
  mPeers = std::move(aPeers);
}

void
pooler_node::Describe(unsigned aRank, unsigned aOwners)
{
  mRank = aRank;
  mOwners = aOwners;
  if (Alive()) {
    Bind([this] { Configure(); })();
  }
}

void
pooler_node::Receive(const gateway::send_to_pooler& aMessage,
                     const std::string& aGateway,
                     const answer_to& aAnswer)
{
  auto request = aMessage.request;
  group::answer refused;
  refused.request = request.id;
  refused.verdict = outcome::verdict::kNotRun;
  refused.retryAfter = kComeBack;
  if (IsInTransaction(request.kind) && aMessage.incarnation != Incarnation()) {
    refused.why = outcome::reason::kTransactionLost;
    aAnswer(refused, Incarnation());
    return;
  }
  mOrigins[++mLastRequest] = { aGateway, request.id, aAnswer, !mStopping };
  request.id = mLastRequest;
  mEngine->Submit(
    std::move(request), mAround.time.Now(), mAround.time.WallNow());
}

void
pooler_node::Receive(const gateway::cancel_at_pooler& aMessage,
                     const std::string& aGateway)
{
  const auto found =
    std::find_if(mOrigins.begin(), mOrigins.end(), [&](const auto& aEntry) {
      return aEntry.second.gateway == aGateway &&
             aEntry.second.id == aMessage.request;
    });
  if (found != mOrigins.end()) {
    const auto id = found->first;
    mOrigins.erase(found);
    mEngine->Cancel(id, mAround.time.Now());
  }
}

void
pooler_node::Stop()
{
  if (!Alive() || mStopping) {
    return;
  }
  mStopping = true;
  mEngine->Drain(mAround.time.Now());
  WaitForEnd();
}

void
pooler_node::WaitForEnd()
{
  const bool atOnce = mAround.rules.Broken(seeded_bug::kStopsAtOnce);
  if ((mEngine->Pending() > 0 || Busy()) && !atOnce) {
    mAround.time.In(kDrainCheck, Bind([this] { WaitForEnd(); }));
    return;
  }
  const auto cutOff =
    std::count_if(mOrigins.begin(), mOrigins.end(), [](const auto& aEntry) {
      return aEntry.second.early;
    });
  mAround.seen.stops.push_back({ VmName(), static_cast<unsigned>(cutOff) });
  Kill();
}

void
pooler_node::ServerDied(const upstream::server_id& aServer)
{
  std::vector<group::connection_id> lost;
  for (const auto& [id, link] : mConnections) {
    if (link.session->server == aServer) {
      lost.push_back(id);
    }
  }
  for (const auto id : lost) {
    BreakLater(id);
  }
}

const wire::configuration&
pooler_node::Configuration() const
{
  return mAround.rules.Broken(seeded_bug::kConfigurationLastSeen)
           ? mLastSeen
           : mKeeper.Current();
}

void
pooler_node::CreateEngines()
{
  mStopping = false;
  group::engine_settings engine;
  engine.transactionIdle = kTransactionIdle;
  mAround.rules.Settle(engine);
  mEngine = group::MakeEngine(engine);
  failover::coordinator_settings coordinator;
  coordinator.vm = VmName();
  coordinator.incarnation = Incarnation();
  coordinator.failureDomain = mDomain;
  coordinator.rank = mRank;
  coordinator.owners = mOwners;
  mAround.rules.Settle(coordinator);
  mCoordinator = failover::MakeCoordinator(coordinator);
  mWord = {};
  mNews = {};
  Configure();
  mAround.time.In(mAround.Transit(), Bind([this] { Beat(); }));
  mAround.time.In(mAround.Transit(), Bind([this] { ReadConfiguration(); }));
}

void
pooler_node::Ended()
{
  mEngine.reset();
  mCoordinator.reset();
  mOrigins.clear();
  mConnections.clear();
  mShared.clear();
  mKeeper = {};
  mLastSeen = {};
}

void
pooler_node::Configure()
{
  const auto now = mAround.time.Now();
  const auto& group = mAround.servers.Description();
  mEngine->Configure(mAround.rules.Described(group), now);
  mCoordinator->Configure(mAround.rules.Described(group), mRank, mOwners, now);
}

void
pooler_node::Collect()
{
  if (!Alive()) {
    return;
  }
  for (auto& action : mEngine->TakeActions()) {
    const auto step = StepOf(layer::kGroup, action.index(), moment::kAsked);
    Enqueue(
      step, [this, wanted = std::move(action)](const fault_effect& aEffect) {
        std::visit([&](const auto& aAction) { Do(aAction, aEffect); }, wanted);
      });
  }
  for (auto& action : mCoordinator->TakeActions()) {
    const auto step = StepOf(layer::kFailover, action.index(), moment::kAsked);
    Enqueue(
      step, [this, wanted = std::move(action)](const fault_effect& aEffect) {
        std::visit([&](const auto& aAction) { Do(aAction, aEffect); }, wanted);
      });
  }
}

void
pooler_node::Tick()
{
  mEngine->Tick(mAround.time.Now());
  mCoordinator->Tick(mAround.time.Now());
}

clock::time_point
pooler_node::NextTick() const
{
  return std::min(mEngine->NextTick(), mCoordinator->NextTick());
}

void
pooler_node::Do(const group::open_connection& aAction,
                const fault_effect& aEffect)
{
  const auto id = aAction.connection;
  const auto& target = mAround.servers.At(aAction.server);
  auto session = std::make_shared<server_session>();
  session->server = aAction.server;
  session->readOnly = aAction.readOnly;
  session->startCount = target.startCount;
  if (mAround.rules.Broken(seeded_bug::kConnectionShared) &&
      !aAction.readOnly) {
    session = mShared.try_emplace(aAction.server, session).first->second;
  }
  mConnections[id] = { session, false, 0, false };
  const auto place = StepOf(layer::kGroup, 0, moment::kDone);
  const auto answered = StepOf(layer::kGroup, 0, moment::kAnswered);
  const auto fail = [this, id] {
    if (mConnections.erase(id) > 0) {
      mEngine->ConnectionFailed(id, mAround.time.Now());
    }
  };
  const auto open = [this, id, fail] {
    const auto found = mConnections.find(id);
    if (found == mConnections.end()) {
      return;
    }
    const auto& name = found->second.session->server;
    const auto& server = mAround.servers.At(name);
    const bool reached =
      server.alive && !server.frozen && mAround.servers.Linked(VmName(), name);
    if (!reached || server.startCount != found->second.session->startCount) {
      fail();
      return;
    }
    found->second.open = true;
    mEngine->ConnectionOpened(id, mAround.time.Now());
  };
  const auto done = mAround.faults.Reach(place, *this);
  if (!Alive()) {
    return;
  }
  if (aEffect.lost || done.lost) {
    mAround.time.In(kConnectTime, Bind(fail));
    return;
  }
  mAround.time.In(kConnectTime + aEffect.delay + done.delay,
                  Arrival(answered, open, fail));
}

void
pooler_node::Do(const group::close_connection& aAction,
                const fault_effect& aEffect)
{
  const auto found = mConnections.find(aAction.connection);
  if (found == mConnections.end()) {
    return;
  }
  const auto session = found->second.session;
  mConnections.erase(found);
  Deliver(session->server, mAround.Transit() + aEffect.delay, [session] {
    session->transaction.reset();
  });
}

void
pooler_node::Do(const group::run_batch& aAction, const fault_effect& aEffect)
{
  const auto id = aAction.connection;
  const auto found = mConnections.find(id);
  if (found == mConnections.end() || !found->second.open) {
    return;
  }
  found->second.batch = aAction.batch;
  found->second.running = true;
  if (aEffect.lost) {
    BreakLater(id);
    return;
  }
  Deliver(found->second.session->server,
          mAround.Transit() + aEffect.delay,
          [this, id, batch = aAction, session = found->second.session] {
            Execute(id, batch, session);
          });
}

void
pooler_node::Execute(group::connection_id aConnection,
                     const group::run_batch& aBatch,
                     const std::shared_ptr<server_session>& aSession)
{
  if (mAround.servers.At(aSession->server).startCount != aSession->startCount) {
    return;
  }
  const auto reply = std::make_shared<const upstream::reply>(
    mAround.servers.Run(*aSession, aBatch.statements));
  const auto batch = aBatch.batch;
  const auto effect =
    mAround.faults.Reach(StepOf(layer::kGroup, 2, moment::kDone), *this);
  const auto lose = [this, aConnection, reply] {
    TearWith(aConnection, *reply);
  };
  if (effect.lost) {
    mAround.time.In(kBreakDelay, Bind(lose));
    return;
  }
  const auto take = [this, aConnection, batch, reply] {
    const auto link = mConnections.find(aConnection);
    if (link == mConnections.end() || !link->second.open) {
      return;
    }
    link->second.running = false;
    mEngine->Replied(aConnection, batch, *reply, mAround.time.Now());
  };
  const auto answered = StepOf(layer::kGroup, 2, moment::kAnswered);
  DeliverBack(aSession->server,
              mAround.Transit() + effect.delay,
              Arrival(answered, take, lose));
}

void
pooler_node::TearWith(group::connection_id aConnection, upstream::reply aReply)
{
  const auto link = mConnections.find(aConnection);
  if (link == mConnections.end()) {
    return;
  }
  if (mAround.rules.Broken(seeded_bug::kPartialAnswerAccepted)) {
    CutInHalf(aReply);
    link->second.running = false;
    mEngine->Replied(
      aConnection, link->second.batch, std::move(aReply), mAround.time.Now());
    return;
  }
  Break(aConnection);
}

void
pooler_node::BreakLater(group::connection_id aConnection)
{
  mAround.time.In(kBreakDelay,
                  Bind([this, aConnection] { Break(aConnection); }));
}

void
pooler_node::Break(group::connection_id aConnection)
{
  const auto link = mConnections.find(aConnection);
  if (link == mConnections.end()) {
    return;
  }
  const auto broken = link->second;
  mConnections.erase(link);
  broken.session->transaction.reset();
  const auto now = mAround.time.Now();
  if (!broken.open) {
    mEngine->ConnectionFailed(aConnection, now);
    return;
  }
  if (broken.running) {
    mEngine->Replied(aConnection, broken.batch, IndeterminateReply(), now);
  }
  mEngine->ConnectionLost(aConnection, now);
}

void
pooler_node::Do(const group::request_status& aAction,
                const fault_effect& aEffect)
{
  server_query asked;
  asked.server = aAction.server;
  asked.of = layer::kGroup;
  asked.alternative = 3;
  asked.timeout = kProbeTimeout;
  asked.effect = [] { return true; };
  asked.done = [this,
                server = aAction.server](const upstream::server_status* aStatus,
                                         clock::time_point aAskedAt) {
    const auto now = mAround.time.Now();
    if (aStatus == nullptr) {
      mEngine->StatusFailed(server, now);
      return;
    }
    auto status = *aStatus;
    const auto primary = mAround.servers.Status(mAround.servers.PrimaryId());
    mAround.rules.Heard(status, primary, aAskedAt, now);
    mEngine->StatusArrived(server, status, aAskedAt, now);
  };
  Ask(asked, aEffect);
}

void
pooler_node::Do(const group::give_answer& aAction, const fault_effect& aEffect)
{
  const auto found = mOrigins.find(aAction.reply.request);
  if (found == mOrigins.end()) {
    return;
  }
  const auto from = found->second;
  mOrigins.erase(found);
  const auto answer = std::make_shared<group::answer>(aAction.reply);
  answer->request = from.id;
  mAround.rules.Answered(*answer);
  if (aEffect.lost) {
    return;
  }
  const auto send = [=, incarnation = Incarnation()] {
    from.answer(*answer, incarnation);
  };
  // The message is already in transit, so it is delivered even if this process
  // is killed.
  mAround.time.In(aEffect.delay, send);
  if (aEffect.twice) {
    mAround.time.In(aEffect.delay + kBreakDelay, send);
  }
}

void
pooler_node::Do(const failover::probe& aAction, const fault_effect& aEffect)
{
  server_query asked;
  asked.server = aAction.server;
  asked.of = layer::kFailover;
  asked.alternative = 0;
  asked.timeout = kProbeTimeout;
  asked.effect = [] { return true; };
  asked.done = [this,
                server = aAction.server](const upstream::server_status* aStatus,
                                         clock::time_point aAskedAt) {
    if (aStatus == nullptr) {
      mCoordinator->StatusFailed(server, mAround.time.Now());
    } else {
      mCoordinator->StatusArrived(
        server, *aStatus, aAskedAt, mAround.time.Now());
    }
  };
  Ask(asked, aEffect);
}

void
pooler_node::Do(const failover::fence& aAction, const fault_effect& aEffect)
{
  const auto accepted = std::make_shared<bool>(false);
  server_query asked;
  asked.server = aAction.server;
  asked.of = layer::kFailover;
  asked.alternative = 1;
  asked.timeout = kCommandTimeout;
  asked.effect = [this, aAction] {
    return mAround.servers.Fence(aAction.server, aAction.term);
  };
  asked.done = [this, aAction](const upstream::server_status* aStatus,
                               clock::time_point) {
    auto status = aStatus == nullptr ? upstream::server_status{} : *aStatus;
    bool good = aStatus != nullptr;
    if (mAround.rules.Broken(seeded_bug::kFenceForged)) {
      status.term = aAction.term;
      status.role = upstream::server_role::kFenced;
      good = true;
    }
    mCoordinator->FenceAnswered(
      aAction.server, aAction.term, good, status, mAround.time.Now());
  };
  Ask(asked, aEffect);
}

void
pooler_node::Do(const failover::promote& aAction, const fault_effect& aEffect)
{
  server_query asked;
  asked.server = aAction.server;
  asked.of = layer::kFailover;
  asked.alternative = 2;
  asked.timeout = kCommandTimeout;
  asked.effect = [this, aAction] {
    return mAround.servers.Promote(aAction.server, aAction.term);
  };
  asked.done = [this, aAction](const upstream::server_status* aStatus,
                               clock::time_point) {
    mCoordinator->PromoteAnswered(aAction.server,
                                  aAction.term,
                                  aStatus != nullptr,
                                  aStatus == nullptr ? upstream::server_status{}
                                                     : *aStatus,
                                  mAround.time.Now());
  };
  Ask(asked, aEffect);
}

void
pooler_node::Do(const failover::follow& aAction, const fault_effect& aEffect)
{
  server_query asked;
  asked.server = aAction.server;
  asked.of = layer::kFailover;
  asked.alternative = 3;
  asked.timeout = kCommandTimeout;
  asked.effect = [this, aAction] {
    return mAround.servers.Follow(
      aAction.server, aAction.term, aAction.primary);
  };
  asked.done = [this, aAction](const upstream::server_status* aStatus,
                               clock::time_point) {
    mCoordinator->FollowAnswered(aAction.server,
                                 aAction.term,
                                 aStatus != nullptr,
                                 aStatus == nullptr ? upstream::server_status{}
                                                    : *aStatus,
                                 mAround.time.Now());
  };
  Ask(asked, aEffect);
}

void
pooler_node::Do(const failover::read_record& /*aAction*/,
                const fault_effect& aEffect)
{
  if (aEffect.lost) {
    return;
  }
  const auto done = StepOf(layer::kFailover, 4, moment::kDone);
  const auto answered = StepOf(layer::kFailover, 4, moment::kAnswered);
  mAround.time.In(aEffect.delay, [=, this] {
    mAround.store.Read(
      kTermsKey, [=, this](bool aReached, const store::entry& aEntry) {
        const auto effect = mAround.faults.Reach(done, *this);
        if (effect.lost) {
          return;
        }
        const auto take = [this, aReached, aEntry] {
          mCoordinator->RecordRead(aReached, aEntry, mAround.time.Now());
        };
        mAround.time.In(effect.delay, Arrival(answered, take, [] {}));
      });
  });
}

void
pooler_node::Do(const failover::swap_record& aAction,
                const fault_effect& aEffect)
{
  if (aEffect.lost) {
    return;
  }
  const auto done = StepOf(layer::kFailover, 5, moment::kDone);
  const auto answered = StepOf(layer::kFailover, 5, moment::kAnswered);
  mAround.time.In(aEffect.delay, [=, this] {
    mAround.store.Swap(
      kTermsKey,
      aAction.value,
      aAction.expected,
      [=, this](store::swap_outcome aOutcome) {
        const auto effect = mAround.faults.Reach(done, *this);
        const auto outcome =
          effect.lost ? store::swap_outcome::kUnknown : aOutcome;
        const auto take = [this, outcome] {
          mCoordinator->RecordSwapped(outcome, mAround.time.Now());
        };
        mAround.time.In(effect.delay, Arrival(answered, take, [] {}));
      });
  });
}

void
pooler_node::Do(const failover::announce& aAction, const fault_effect& aEffect)
{
  if (!aEffect.lost) {
    mNews = aAction;
  }
}

void
pooler_node::Do(const failover::report_suspicion& aAction,
                const fault_effect& aEffect)
{
  if (!aEffect.lost) {
    mWord = aAction.report;
  }
}

// Each query ends exactly once: with an answer in time, or with none.
void
pooler_node::Ask(const server_query& aQuery, const fault_effect& aEffect)
{
  const auto askedAt = mAround.time.Now();
  const auto open = std::make_shared<bool>(true);
  const auto lose = [open, done = aQuery.done, askedAt] {
    if (std::exchange(*open, false)) {
      done(nullptr, askedAt);
    }
  };
  mAround.time.In(aQuery.timeout, Bind(lose));
  if (aEffect.lost) {
    mAround.time.In(kBreakDelay, Bind(lose));
    return;
  }
  Deliver(aQuery.server, mAround.Transit() + aEffect.delay, [=, this] {
    const bool accepted = aQuery.effect();
    const auto status = mAround.servers.Status(aQuery.server);
    const auto effect = mAround.faults.Reach(
      StepOf(aQuery.of, aQuery.alternative, moment::kDone), *this);
    if (effect.lost) {
      mAround.time.In(kBreakDelay, Bind(lose));
      return;
    }
    const auto take = [=, done = aQuery.done] {
      if (std::exchange(*open, false)) {
        done(accepted ? &status : nullptr, askedAt);
      }
    };
    const auto step = StepOf(aQuery.of, aQuery.alternative, moment::kAnswered);
    DeliverBack(aQuery.server,
                mAround.Transit() + effect.delay,
                Arrival(step, take, lose));
  });
}

void
pooler_node::Deliver(const upstream::server_id& aServer,
                     clock::duration aDelay,
                     std::function<void()> aEvent)
{
  mAround.time.In(aDelay, [=, this, event = std::move(aEvent)] {
    const auto& target = mAround.servers.At(aServer);
    if (!target.alive) {
      return;
    }
    if (target.frozen || !mAround.servers.Linked(VmName(), aServer)) {
      Deliver(aServer, kRetransmission, event);
      return;
    }
    event();
  });
}

void
pooler_node::DeliverBack(const upstream::server_id& aServer,
                         clock::duration aDelay,
                         std::function<void()> aEvent)
{
  mAround.time.In(aDelay, [=, this, event = std::move(aEvent)] {
    if (!mAround.servers.Linked(VmName(), aServer)) {
      DeliverBack(aServer, kRetransmission, event);
      return;
    }
    event();
  });
}

void
pooler_node::Beat()
{
  mAround.time.In(kBeatInterval, Bind([this] { Beat(); }));
  for (auto* peer : mPeers) {
    if (mAround.servers.Linked(VmName(), peer->VmName()) && peer->Alive()) {
      mAround.time.In(mAround.Transit(),
                      peer->Bind([peer, this] { peer->Hear(*this); }));
    }
  }
}

void
pooler_node::Hear(const pooler_node& aPeer)
{
  const auto now = mAround.time.Now();
  mCoordinator->PeerSuspects(aPeer.VmName(), aPeer.mDomain, aPeer.mWord, now);
  if (aPeer.mNews.term > 0) {
    mCoordinator->PeerAnnounces(aPeer.mNews.term, aPeer.mNews.primary, now);
  }
  ApplyIfNewer(aPeer.Configuration());
}

void
pooler_node::ReadConfiguration()
{
  mAround.time.In(kReadInterval, Bind([this] { ReadConfiguration(); }));
  const auto take = [this](bool aReached, const store::entry& aEntry) {
    const auto record = policy::ParseConfigurationRecord(aEntry.value);
    if (aReached && record) {
      Bind([this, found = *record] {
        ApplyIfNewer({ found.version, found.declaration });
      })();
    }
  };
  const auto startCount = StartCount();
  mAround.store.Read(
    kConfigurationKey,
    [this, startCount, take](bool aReached, const store::entry& aEntry) {
      if (Alive() && StartCount() == startCount) {
        take(aReached, aEntry);
      }
    });
}

void
pooler_node::ApplyIfNewer(const wire::configuration& aOffered)
{
  if (aOffered.version == 0) {
    return;
  }
  const auto before = Configuration().version;
  (void)mKeeper.ApplyIfNewer(aOffered);
  mLastSeen = aOffered;
  if (Configuration().version != before) {
    mAround.seen.versions.push_back(
      { VmName() + "/" + std::to_string(StartCount()),
        Configuration().version,
        Configuration().declaration });
  }
}

std::string
pooler_node::Incarnation() const
{
  return VmName() + "-" + std::to_string(StartCount());
}

} // namespace currantshed::matrix
