#include "test/matrix/world.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "currantshed/member/membership.hpp"
#include "currantshed/policy/configuration_record.hpp"
#include "test/matrix/steps.hpp"

namespace currantshed::matrix {

namespace {

using std::chrono::milliseconds;

// Phases of a run: callers start, every fault ends, calls must succeed again,
// callers stop.
constexpr instant kCallersFrom = milliseconds(400);
constexpr instant kHealAt = milliseconds(3000);
constexpr instant kWorksFrom = milliseconds(6000);
constexpr instant kCallersUntil = milliseconds(7500);
constexpr instant kEnd = milliseconds(10000);

constexpr milliseconds kFailoverAt{ 800 };
constexpr milliseconds kFirstApply{ 600 };
constexpr milliseconds kSecondApply{ 1900 };
constexpr milliseconds kOutage{ 1200 };
constexpr milliseconds kPartition{ 1600 };
constexpr milliseconds kStoreOutage{ 1500 };
constexpr milliseconds kPause{ 700 };
constexpr milliseconds kLag{ 1800 };
constexpr milliseconds kLongPause{ 1300 };
constexpr milliseconds kBriefPause{ 260 };
constexpr milliseconds kViewLag{ 500 };
constexpr milliseconds kRestart{ 900 };
constexpr milliseconds kListLag{ 100 };
constexpr milliseconds kSlow{ 120 };
constexpr milliseconds kLate{ 300 };
constexpr milliseconds kOvertaken{ 8 };
constexpr milliseconds kReplicaGrace{ 1000 };
constexpr milliseconds kPrimaryGrace{ 3500 };
constexpr milliseconds kStopCheck{ 10 };
constexpr unsigned kSessions = 4;
constexpr unsigned kOwners = 3;

const std::string kGroup = "claimsbook-1";
const std::string kConfigurationKey = "configuration";

store::vm
Vm(const std::string& aName)
{
  store::vm made;
  made.id = aName;
  made.failureDomain = "d" + aName.substr(aName.size() - 1);
  return made;
}

} // namespace

world::world(const plan& aPlan)
  : mPlan(aPlan)
  , mChance(aPlan.seed)
  , mServers(mTime, mSeen)
  , mStore(mTime)
  , mRules(aPlan.broken)
  , mAround{ mTime, mServers, mStore, *this, mRules, mSeen, mChance }
  , mReached(Steps().size(), 0)
{
  for (const char* number : { "1", "2", "3" }) {
    const auto name = std::string("vm") + number;
    mPoolers.push_back(
      std::make_unique<pooler_node>(mAround, name, Vm(name).failureDomain));
  }
  std::vector<pooler_node*> all;
  for (const auto& made : mPoolers) {
    all.push_back(made.get());
  }
  for (const auto& made : mPoolers) {
    auto others = all;
    others.erase(std::find(others.begin(), others.end(), made.get()));
    made->SetPeers(others);
  }
  for (std::size_t at = 0; at < 2; ++at) {
    const auto name = "gateway" + std::to_string(at + 1);
    auto made = std::make_unique<gateway_node>(mAround, name);
    made->SetPoolers(all[at], all);
    mGateways.push_back(std::move(made));
  }
}

run_result
world::Run()
{
  Begin();
  mTime.RunUntil(kEnd);
  mRunning = false;
  for (const auto& alive : mPoolers) {
    mSeen.lastProcesses.push_back(alive->VmName() + "/" +
                                  std::to_string(alive->StartCount()));
  }
  for (const auto& alive : mGateways) {
    mSeen.lastProcesses.push_back(alive->VmName() + "/" +
                                  std::to_string(alive->StartCount()));
  }
  mSeen.healed = kWorksFrom;
  mServers.Finish();
  mTime.Clear();
  return { std::move(mSeen), mInjected, mReached };
}

void
world::Begin()
{
  mRunning = true;
  mStore.changed = [this](const std::string& aKey, const std::string& aValue) {
    const auto record = policy::ParseConfigurationRecord(aValue);
    if (aKey == kConfigurationKey && record) {
      mSeen.stored.push_back({ "store", record->version, record->declaration });
    }
  };
  const auto first = policy::NextConfigurationRecord({}, "change-0", "zero");
  (void)mStore.Apply(
    kConfigurationKey, policy::PrintConfigurationRecord(first), 0);
  PublishView();
  for (const auto& made : mPoolers) {
    made->Start();
  }
  PublishView();
  for (const auto& made : mGateways) {
    made->Start();
  }
  for (unsigned number = 0; number < kSessions; ++number) {
    mCallers.push_back(std::make_unique<session_caller>(
      mAround,
      std::vector<gateway_node*>{ mGateways[0].get(), mGateways[1].get() },
      number));
    mTime.In(kCallersFrom,
             [this, number] { mCallers[number]->Start(kCallersUntil); });
  }
  mTime.In(kFirstApply, [this] { Apply("first"); });
  mTime.In(kSecondApply, [this] { Apply("second"); });
  mTime.In(kHealAt, [this] { Heal(); });
  if (mPlan.failover) {
    mTime.In(kFailoverAt, [this] { Partition(mServers.PrimaryId(), false); });
  }
}

fault_effect
world::Reach(std::size_t aStep, process& aBy)
{
  fault_effect met;
  if (!mRunning || mTime.Since() < kCallersFrom || mTime.Since() >= kHealAt) {
    return met;
  }
  const auto count = ++mReached[aStep];
  for (const auto& injected : mPlan.injections) {
    if (injected.step == aStep && injected.occurrence == count) {
      ++mInjected;
      Inject(injected.what, aBy, met);
    }
  }
  return met;
}

void
world::Inject(fault aWhat, process& aBy, fault_effect& aEffect)
{
  if (!InjectIntoMessage(aWhat, aEffect) && !InjectIntoServer(aWhat) &&
      !InjectIntoStore(aWhat)) {
    InjectIntoProcess(aWhat, aBy);
  }
}

bool
world::InjectIntoMessage(fault aWhat, fault_effect& aEffect)
{
  switch (aWhat) {
    case fault::kMessageSlow:
      aEffect.delay += kSlow;
      return true;
    case fault::kMessageLate:
      aEffect.delay += kLate;
      return true;
    case fault::kMessageOvertaken:
      aEffect.delay += kOvertaken;
      return true;
    case fault::kMessageLost:
      aEffect.lost = true;
      return true;
    case fault::kMessageTwice:
      aEffect.twice = true;
      return true;
    default:
      return false;
  }
}

bool
world::InjectIntoServer(fault aWhat)
{
  const auto primary = mServers.PrimaryId();
  const auto replica = mServers.ReplicaId();
  switch (aWhat) {
    case fault::kPrimaryPartitioned:
      Partition(primary, false);
      return true;
    case fault::kPrimaryIsolated:
      Partition(primary, true);
      return true;
    case fault::kPrimaryDies:
      KillServer(primary);
      return true;
    case fault::kReplicaDies:
      KillServer(replica);
      return true;
    case fault::kPrimaryFrozen:
      mServers.At(primary).frozen = true;
      mTime.In(kOutage,
               [this, primary] { mServers.At(primary).frozen = false; });
      return true;
    case fault::kReplicaBehind:
      mServers.At(replica).applyPaused = true;
      return true;
    case fault::kReplicaLags:
      mServers.At(replica).lagging = true;
      return true;
    case fault::kReplicasBehind:
      for (const auto& id : mServers.Ids()) {
        mServers.At(id).lagging = id != primary;
      }
      mTime.In(kLag, [this] {
        for (const auto& id : mServers.Ids()) {
          mServers.At(id).lagging = false;
        }
      });
      return true;
    case fault::kReplicaLeaves:
      Leave(replica, kReplicaGrace);
      return true;
    case fault::kPrimaryLeaves:
      Leave(primary, kPrimaryGrace);
      return true;
    default:
      return false;
  }
}

bool
world::InjectIntoStore(fault aWhat)
{
  switch (aWhat) {
    case fault::kStoreDown:
      mStore.down = true;
      break;
    case fault::kStoreSlow:
      mStore.slow = true;
      break;
    case fault::kStoreAnswersLost:
      mStore.losesAnswers = true;
      break;
    case fault::kOperatorsRace:
      Apply("race" + std::to_string(mOperators.size()));
      Apply("race" + std::to_string(mOperators.size()));
      return true;
    default:
      return false;
  }
  mTime.In(kStoreOutage, [this] {
    mStore.down = false;
    mStore.slow = false;
    mStore.losesAnswers = false;
  });
  return true;
}

void
world::InjectIntoProcess(fault aWhat, process& aBy)
{
  auto& pooler = PoolerFor(aBy);
  auto& gateway = GatewayFor(aBy);
  switch (aWhat) {
    case fault::kPoolerDies:
      KillPooler(pooler);
      break;
    case fault::kPoolerPaused:
      pooler.Pause(kLongPause);
      break;
    case fault::kPoolerPausedBriefly:
      pooler.Pause(kBriefPause);
      break;
    case fault::kPoolerCutOff:
      for (const auto& id : mServers.Ids()) {
        mServers.Cut(pooler.VmName(), id);
      }
      for (const auto& other : mPoolers) {
        if (other.get() != &pooler) {
          mServers.Cut(pooler.VmName(), other->VmName());
        }
      }
      mTime.In(kOutage, [this] { mServers.HealAll(); });
      break;
    case fault::kPoolerStops:
      pooler.Stop();
      WatchStopping(pooler);
      break;
    case fault::kGatewayDies:
      gateway.Kill();
      Replace(gateway);
      break;
    case fault::kGatewayPaused:
      gateway.Pause(kPause);
      break;
    default:
      gateway.Stop();
      Replace(gateway);
      break;
  }
}

// Unless it is isolated completely, the primary keeps its links to the leading
// pooler, so that it continues to consider itself primary.
void
world::Partition(const std::string& aServer, bool aWholly)
{
  for (const auto& id : mServers.Ids()) {
    if (id != aServer) {
      mServers.Cut(id, aServer);
    }
  }
  const auto ranked = Ranked();
  for (std::size_t at = aWholly ? 0 : 1; at < ranked.size(); ++at) {
    mServers.Cut(ranked[at]->VmName(), aServer);
  }
  mTime.In(kPartition, [this] { mServers.HealAll(); });
}

// The server restarts with its previous role and log.
void
world::KillServer(const upstream::server_id& aServer)
{
  auto& killed = mServers.At(aServer);
  if (!killed.alive) {
    return;
  }
  killed.alive = false;
  ++killed.startCount;
  for (const auto& pooler : mPoolers) {
    if (pooler->Alive()) {
      pooler->ServerDied(aServer);
    }
  }
  mTime.In(kOutage, [&killed] { killed.alive = true; });
}

void
world::KillPooler(pooler_node& aPooler)
{
  if (aPooler.Alive()) {
    aPooler.Kill();
    PoolerEnded(aPooler);
  }
}

void
world::PoolerEnded(pooler_node& aPooler)
{
  for (const auto& gateway : mGateways) {
    gateway->PoolerDied(aPooler.VmName());
  }
  mTime.In(kViewLag, [this] { PublishView(); });
  mTime.In(kRestart, [this, &aPooler] {
    aPooler.Start();
    PublishView();
  });
}

void
world::WatchStopping(pooler_node& aPooler)
{
  if (!aPooler.Alive()) {
    PoolerEnded(aPooler);
    return;
  }
  mTime.In(kStopCheck, [this, &aPooler] { WatchStopping(aPooler); });
}

void
world::Replace(process& aProcess)
{
  mTime.In(kRestart, [this, &aProcess] {
    if (aProcess.Alive()) {
      Replace(aProcess);
      return;
    }
    aProcess.Start();
  });
}

void
world::Leave(const upstream::server_id& aServer, clock::duration aGrace)
{
  mTime.In(kListLag, [this, aServer, aGrace] {
    mServers.SetLeaving(aServer, aGrace);
    PublishView();
  });
}

void
world::Heal()
{
  mServers.HealAll();
  mStore.down = false;
  mStore.slow = false;
  mStore.losesAnswers = false;
  for (const auto& id : mServers.Ids()) {
    auto& healed = mServers.At(id);
    healed.alive = true;
    healed.frozen = false;
    healed.lagging = false;
    healed.applyPaused = false;
  }
}

void
world::PublishView()
{
  const auto ranked = Ranked();
  const auto owners = static_cast<unsigned>(ranked.size());
  for (unsigned rank = 0; rank < owners; ++rank) {
    ranked[rank]->Describe(rank, owners);
  }
  gateway::fleet_view view;
  view.version = ++mViewVersion;
  view.owners = kOwners;
  view.groups = { kGroup };
  for (const auto* pooler : ranked) {
    view.live.push_back(Vm(pooler->VmName()));
  }
  for (const auto& gateway : mGateways) {
    gateway->SetView(view);
  }
}

void
world::Apply(const std::string& aDeclaration)
{
  mOperators.push_back(std::make_unique<operator_call>(mAround, aDeclaration));
  auto* made = mOperators.back().get();
  mTime.In(clock::duration(0), [made] { made->Apply(); });
}

pooler_node&
world::PoolerFor(process& aBy)
{
  if (auto* pooler = dynamic_cast<pooler_node*>(&aBy)) {
    return *pooler;
  }
  const auto ranked = Ranked();
  return ranked.empty() ? *mPoolers.front() : *ranked.front();
}

gateway_node&
world::GatewayFor(process& aBy)
{
  if (auto* gateway = dynamic_cast<gateway_node*>(&aBy)) {
    return *gateway;
  }
  return *mGateways.front();
}

std::vector<pooler_node*>
world::Ranked()
{
  std::vector<store::vm> live;
  for (const auto& pooler : mPoolers) {
    if (pooler->Alive()) {
      live.push_back(Vm(pooler->VmName()));
    }
  }
  std::vector<pooler_node*> ranked;
  for (const auto& owner : member::ChooseOwners(kGroup, live, kOwners)) {
    for (const auto& pooler : mPoolers) {
      if (pooler->VmName() == owner.id) {
        ranked.push_back(pooler.get());
      }
    }
  }
  return ranked;
}

} // namespace currantshed::matrix
