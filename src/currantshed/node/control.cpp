#include "currantshed/node/control.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "currantshed/clock/now.hpp"
#include "currantshed/log/log.hpp"
#include "currantshed/node/peer_selection.hpp"
#include "currantshed/store/call_timeout.hpp"

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// Interval between two reach updates of a VM, per VM that sends them, and its
// bounds: a VM that monitors a group needs some recent updates, not many.
constexpr milliseconds kReachIntervalPerVm{ 25 };
constexpr milliseconds kMinReachInterval{ 250 };
constexpr milliseconds kMaxReachInterval{ 2000 };
// The same for a VM that the store no longer lists: a new lock holder learns of
// it only by its reach updates, and until then that VM has no confirmations but
// its own. It sends them to a few other VMs at a time, which limits the number
// of its connections.
constexpr milliseconds kUnlistedReachInterval{ 1000 };
// After this time a VM takes callers even if a group has no primary.
constexpr milliseconds kReadyWithoutConfirmation{ 1500 };
// Pauses after a change before the next changes are read. Frequent changes by
// operators, and the writes of servers that start, cost each VM one call per
// pause. Both pauses are far shorter than the times within which changes must
// take effect.
constexpr milliseconds kConfigurationPause{ 300 };
constexpr milliseconds kServersPause{ 400 };
constexpr milliseconds kPausePerServer{ 40 };
// Upper bound for any number of keys: only a few VMs of a failure domain make
// these calls, and what they read must reach all others in time.
constexpr milliseconds kMaxServersPause{ 800 };
constexpr milliseconds kMaxClusterPause{ 300 };
// How long the first reading of the other keys waits for that of the cluster
// state, which tells which VMs can provide those keys.
constexpr milliseconds kClusterStateFirst{ 500 };
// Duration of a VM's lease and the interval between renewals. Lock holders and
// forwarders use a short lease. All others use the long one, which halves the
// cost of their renewals.
constexpr milliseconds kShortLease{ 2000 };
constexpr milliseconds kShortRenewal{ 650 };
constexpr milliseconds kLongLease{ 4000 };
constexpr milliseconds kLongRenewal{ 1300 };

// Transfer time of a byte of a document on the VM's link. The store's encoding
// sends three bytes as four.
std::chrono::nanoseconds
TimePerByte(const node_settings& aSettings)
{
  constexpr double kBitsSent = 8.0 * 4 / 3;
  const double seconds =
    kBitsSent / (std::max(aSettings.linkMegabits, 0.001) * 1e6);
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
    std::chrono::duration<double>(seconds));
}

} // namespace

control::control(const node_settings& aSettings,
                 const lead::monitor_settings& aLead,
                 const document_codec& aDocuments,
                 const platform_factory& aFactory,
                 traffic& aTraffic,
                 metrics& aMetrics)
  : mSettings(aSettings)
  , mMonitorSettings(aLead)
  , mDocuments(aDocuments)
  , mTraffic(aTraffic)
  , mMetrics(aMetrics)
  , mWork(boost::asio::make_work_guard(mContext))
  , mSelf{ { aSettings.vm, aSettings.peers.host, aSettings.peers.port },
           aSettings.relays.port,
           aSettings.failureDomain,
           absl::Uniform<std::uint64_t>(mRandom) >> 1U,
           aSettings.cpuMillicores }
  , mPlatform(aFactory(mContext))
  , mStore(*mPlatform.store,
           { [this](std::function<void()> aCall) {
              boost::asio::post(mContext, std::move(aCall));
            },
             [this](std::optional<store::era_id> aBefore, store::era_id aNow) {
               OnEraBegan(aBefore, aNow);
             } })
  , mConfigurationView(
      mStore,
      aDocuments.ConfigurationKey(),
      { .wait = store::WatchWait(aSettings.storeHistory),
        .pauseAfterChange = kConfigurationPause,
        .timePerByte = TimePerByte(aSettings),
        .changeBound = aSettings.configurationBound,
        .maxForwardingLag =
          internal::forwarding_timeouts(aSettings.configurationBound)
            .MaxLag(absl::Uniform<double>(mRandom, 0, 1)),
        .skipsVersions = true },
      MakeViewListener("configuration",
                       [this](clock::time_point) { ConfigurationChanged(); }))
  , mServersView(mStore,
                 aDocuments.ServersPrefix(),
                 { .wait = store::WatchWait(aSettings.storeHistory),
                   .pauseAfterChange = kServersPause,
                   .pausePerKey = kPausePerServer,
                   .maxPauseByKeys = kMaxServersPause },
                 MakeViewListener(
                   "servers",
                   [this](clock::time_point aNow) { ServersChanged(aNow); }))
  , mClusterView(mStore,
                 std::string(kClusterPrefix),
                 { .wait = store::WatchWait(aSettings.storeHistory),
                   .maxPauseByKeys = kMaxClusterPause },
                 MakeViewListener("own_keys",
                                  [this](clock::time_point aNow) {
                                    ClusterStateChanged(aNow);
                                  }))
  , mRegistration(mStore, mClusterView, VmKey(aSettings.vm), { LongLease() })
  , mExchange(mContext,
              mZmq,
              mSelf.where,
              mSelf.incarnation,
              [this](const news::News& aMessage,
                     const news::exchange::clock_converter& aClock,
                     clock::time_point aNow) {
                OnAnnouncement(aMessage, aClock, aNow);
              })
  , mRound(absl::Uniform<std::size_t>(mRandom, 0, 4096))
  , mForwardingTimeouts(aSettings.configurationBound)
  , mMembership(aSettings.vm)
  , mFreshness(aSettings.keyBound)
  , mTokenBuckets(aSettings.quotaWindow)
  , mLocks(aSettings.vm)
  , mStartedAt(clock::Now())
  , mTicker(mContext, [this] { Tick(); })
{
  mGroupsInUseAt = mStartedAt;
  for (auto* view : { &mConfigurationView, &mServersView }) {
    view->ForwardedUntil(mStartedAt + mForwardingTimeouts.DiscoveryTimeout());
    view->DelayFirstReadUntil(mStartedAt + kClusterStateFirst);
  }
  mClusterView.ForwardedUntil(mStartedAt +
                              mForwardingTimeouts.ClusterDiscoveryTimeout());
  mRegistration.SetValue(SerializeVm(mSelf));
  mRegistration.OnWritten([this] { Tick(); });
  mAssemblers.fill(
    snapshot_assembler({ mForwardingTimeouts.ChunkTimeout(),
                         mForwardingTimeouts.TransferTimeout() }));
  mRegistration.OnRecovered([this] { OnStoreRecovered(clock::Now()); });
}

control::~control()
{
  try {
    Stop();
  } catch (const std::exception& error) {
    log::Write(log::level::kError,
               "control_not_stopped",
               { { "reason", std::string(error.what()) } });
  }
}

std::error_code
control::Start()
{
  if (const auto error = mExchange.Listen()) {
    return error;
  }
  mTraffic.SetListener(
    { [this](const std::string& aService) {
       boost::asio::post(mContext, [this, aService] {
         ConfirmationNeeded(aService, clock::Now());
       });
     },
      [this](const std::string& aService, position::term_id aTerm) {
        boost::asio::post(mContext, [this, aService, aTerm] {
          if (auto* found = MarkPending(aService)) {
            found->monitor.LeadershipDenied(aTerm, clock::Now());
            PerformActions(clock::Now());
          }
        });
      },
      [this](const std::string& aCustomer, unsigned aCount) {
        boost::asio::post(mContext, [this, aCustomer, aCount] {
          RequestTokens(aCustomer, aCount, clock::Now());
        });
      } });
  boost::asio::post(mContext, [this] { Tick(); });
  mThread = std::thread([this] { mContext.run(); });
  return {};
}

void
control::BeginShutdown()
{
  mIsReady = false;
  boost::asio::post(mContext, [this] {
    mIsDraining = true;
    mIsReady = false;
    mOrders.Stop();
    Tick();
    ReleaseLocks();
  });
}

void
control::Stop()
{
  if (!mThread.joinable()) {
    return;
  }
  boost::asio::post(mContext, [this] {
    mRegistration.Revoke();
    mExchange.Close();
    mWork.reset();
    mContext.stop();
  });
  mThread.join();
}

// Keys that no forwarder sends are read again, because a watch started during
// the outage may never be answered. All VMs regain the store together, so those
// with forwarders wait for these first.
void
control::OnStoreRecovered(clock::time_point aNow)
{
  PauseViews();
  for (auto* view : Views()) {
    if (aNow < view->ForwardedUntil()) {
      continue;
    }
    if (!mForwarders.empty()) {
      view->ForwardedUntil(aNow + mForwardingTimeouts.RecoveryTimeout());
    }
    view->Refresh(aNow);
  }
  for (const auto& vm : mForwarders) {
    SendPoll(vm, aNow);
  }
  Schedule();
}

void
control::ConfigurationChanged()
{
  const auto& items = mConfigurationView.Items();
  const auto found = items.find(mDocuments.ConfigurationKey());
  if (found == items.end()) {
    return;
  }
  std::string error;
  auto read = mDocuments.ReadConfiguration(found->second.value, error);
  if (read == nullptr) {
    log::Write(
      log::level::kError, "configuration_unreadable", { { "reason", error } });
    return;
  }
  if (read->version == mVersion) {
    mConfigurationRevision = found->second.changed;
  }
  if (read->version <= mVersion) {
    log::Write(log::level::kWarning,
               "configuration_ignored",
               { { "version", static_cast<std::int64_t>(read->version) },
                 { "in_force", static_cast<std::int64_t>(mVersion) } });
    return;
  }
  mVersion = read->version;
  mConfigurationRevision = found->second.changed;
  mMetrics.SetConfiguration(mVersion);
  log::Write(
    log::level::kInfo,
    "configuration_in_force",
    { { "version", static_cast<std::int64_t>(mVersion) },
      { "routes", static_cast<std::int64_t>(read->routes.size()) },
      { "services", static_cast<std::int64_t>(read->services.size()) },
      { "source", std::string(NameOf(mConfigurationView.LastSource())) },
      { "store_call", mConfigurationView.IsCalling() },
      { "customers",
        read->customers == nullptr
          ? log::value(log::unknown{})
          : log::value(static_cast<std::int64_t>(read->customers->Size())) } });
  for (const auto& reason : read->unreadableCustomers) {
    log::Write(
      log::level::kError, "customer_unreadable", { { "reason", reason } });
  }
  const bool hadCustomers = mCustomers != nullptr;
  mCustomers = read->customers;
  ServicesChanged(*read);
  mTraffic.SetConfiguration(std::move(read));
  if (!hadCustomers && mCustomers != nullptr) {
    UpdateCoordinators();
  }
  UpdateReadiness(clock::Now());
}

// Server entries are parsed again only if the set of services has changed.
void
control::ServicesChanged(const proxy::configuration& aConfiguration)
{
  absl::flat_hash_set<std::string> services;
  for (const auto& [name, service] : aConfiguration.services) {
    services.insert(name);
  }
  if (mServices == services) {
    return;
  }
  mServices = std::move(services);
  if (mServersView.IsKnown()) {
    ServersChanged(clock::Now());
  }
}

// The expiry of this VM must be noticed early if others wait for its work.
store::lease_times
control::ShortLease() const
{
  return { std::max(kShortLease, mSettings.shortestLease), kShortRenewal };
}

store::lease_times
control::LongLease() const
{
  return { std::max(kLongLease, mSettings.shortestLease), kLongRenewal };
}

void
control::ClusterStateChanged(clock::time_point aNow)
{
  UpdateEra(aNow);
  const auto changes = UpdateClusterState(
    mClusterState, mClusterView.Items(), mClusterView.TakeChangedKeys());
  UpdateLockAssignments(changes);
  if (changes.isAll || changes.isFleetRecorded || !changes.vms.empty()) {
    FleetChanged(aNow);
  }
  OnFirstListed(aNow);
  UpdateReadiness(aNow);
  Tick();
}

// When this VM is listed for the first time, it asks other VMs for their state.
void
control::OnFirstListed(clock::time_point aNow)
{
  if (mListedAt != clock::time_point{} || !mRegistration.IsListed()) {
    return;
  }
  mListedAt = aNow;
  auto asked = mForwarders.empty() ? SelectLockHolders() : mForwarders;
  AppendMissing(asked, SelectFewVms(aNow));
  for (const auto& vm : asked) {
    SendReachUpdateTo(vm, true, aNow);
  }
}

store::prefix_view::listener
control::MakeViewListener(const std::string& aWhat,
                          std::function<void(clock::time_point)> aChanged)
{
  return { [this, changed = std::move(aChanged)](clock::time_point aNow) {
            changed(aNow);
            NotifySubscribers(aNow);
          },
           [this, aWhat](bool aIsReached, std::error_code aWhy) {
             LogStoreReachability(aWhat, aIsReached, aWhy);
           },
           [this, aWhat](store::revision aRead, store::revision aSeen) {
             LogStaleRead(aWhat, aRead, aSeen);
           },
           [this, aWhat](store::call_reason aReason) {
             LogViewCall(aWhat, aReason);
           },
           [this] { Schedule(); } };
}

void
control::OnEraBegan(std::optional<store::era_id> aBefore, store::era_id aNow)
{
  mMetrics.SetStoreEra(aNow);
  if (!aBefore) {
    return;
  }
  mWasRestored = true;
  log::Write(
    log::level::kWarning,
    "store_returned",
    { { "era_before", static_cast<std::int64_t>(*aBefore) },
      { "store_era", static_cast<std::int64_t>(aNow) },
      { "configuration",
        static_cast<std::int64_t>(mConfigurationView.Seen().number) },
      { "servers", static_cast<std::int64_t>(mServersView.Seen().number) },
      { "own_keys", static_cast<std::int64_t>(mClusterView.Seen().number) } });
  for (auto* view : Views()) {
    view->OnEraChanged(clock::Now());
  }
  Schedule();
}

void
control::LogStaleRead(const std::string& aWhat,
                      store::revision aRead,
                      store::revision aSeen)
{
  mMetrics.CountStoreCall("ignored");
  log::Write(log::level::kWarning,
             "reading_ignored",
             { { "what", aWhat },
               { "revision", static_cast<std::int64_t>(aRead.number) },
               { "store_era", static_cast<std::int64_t>(aRead.era) },
               { "seen", static_cast<std::int64_t>(aSeen.number) },
               { "seen_era", static_cast<std::int64_t>(aSeen.era) } });
}

// Calls in place of a forwarder are logged always: many VMs that turn to the
// store at the same time are a load of their own.
void
control::LogViewCall(const std::string& aWhat, store::call_reason aReason)
{
  const bool isUsual = aReason == store::call_reason::kContinued;
  log::Write(
    isUsual ? log::level::kDebug : log::level::kInfo,
    "store_called",
    { { "what", aWhat },
      { "reason", std::string(NameOf(aReason)) },
      { "forwarders", static_cast<std::int64_t>(mForwarders.size()) } });
}

void
control::LogStoreReachability(const std::string& aWhat,
                              bool aIsReached,
                              std::error_code aWhy)
{
  mMetrics.CountStoreCall(aIsReached ? "regained" : "lost");
  log::Write(
    aIsReached ? log::level::kInfo : log::level::kWarning,
    aIsReached ? "store_regained" : "store_lost",
    { { "what", aWhat }, { "reason", aWhy ? aWhy.message() : std::string() } });
}

void
control::Tick()
{
  const auto now = clock::Now();
  TickStore(now);
  TickFreshness(now);
  TickQuotas(now);
  PollForwarders(now);
  if (mServers.IsDue(now)) {
    ServersChanged(now);
  }
  UpdateLocks(now);
  SetMayConfirm();
  for (const auto& service : mScheduler.Due(now)) {
    if (auto* due = MarkPending(service)) {
      due->monitor.Tick(now);
    }
  }
  if (now >= mNextReachUpdate) {
    mNextReachUpdate = now + ReachInterval(now);
    UpdateMembership(now);
    UpdateQueryStagger(now);
    SendReachUpdates(now);
    mExchange.CloseIdle(now);
  }
  EndSettling(now);
  RecordFleet(now);
  UpdateReadiness(now);
  PerformActions(now);
}

std::chrono::milliseconds
control::ReachInterval(clock::time_point aNow) const
{
  const auto vms = static_cast<int>(mClusterState.vms.size());
  const auto usual =
    std::clamp(kReachIntervalPerVm * vms, kMinReachInterval, kMaxReachInterval);
  return IsUnlisted(aNow) ? std::min(usual, kUnlistedReachInterval) : usual;
}

void
control::TickStore(clock::time_point aNow)
{
  const bool hasRead = mConfigurationView.IsKnown() && mServersView.IsKnown() &&
                       mClusterView.IsKnown();
  mStore.SetCallTimeout(store::CallTimeout(aNow - mStartedAt, hasRead));
  PauseViews();
  mConfigurationView.Tick(aNow, absl::Uniform<double>(mRandom, 0, 1));
  mServersView.Tick(aNow, absl::Uniform<double>(mRandom, 0, 1));
  mClusterView.Tick(aNow, absl::Uniform<double>(mRandom, 0, 1));
  mRegistration.Tick(aNow, absl::Uniform<double>(mRandom, 0, 1));
}

// While the store does not answer this VM, only the renewal of its lease is
// tried, which costs a tenth of any other call.
void
control::PauseViews()
{
  const bool isFailing = mRegistration.IsFailing();
  for (auto* view : Views()) {
    view->SetPaused(view->IsKnown() && isFailing);
  }
  if (std::exchange(mIsStoreFailing, isFailing) != isFailing) {
    log::Write(isFailing ? log::level::kWarning : log::level::kInfo,
               isFailing ? "renewal_failed" : "renewal_answered",
               { { "listed", mRegistration.IsListed() } });
  }
}

bool
control::ReachesStore() const
{
  return mClusterView.IsReached() && !mRegistration.IsFailing();
}

void
control::UpdateReadiness(clock::time_point aNow)
{
  const bool isConfigured = mVersion != 0 && !mServers.Servers().empty() &&
                            mListedAt != clock::time_point{};
  const bool isServable = mIsReady ||
                          aNow >= mListedAt + kReadyWithoutConfirmation ||
                          AreAllConfirmed(aNow);
  const bool isVerified = mFreshness.Holds(aNow) || mIsReady;
  const bool ready =
    isConfigured && isServable && isVerified && !mIsDraining && !IsCutOff(aNow);
  if (ready != mIsReady) {
    mIsReady = ready;
    log::Write(
      log::level::kInfo,
      ready ? "ready" : "not_ready",
      { { "version", static_cast<std::int64_t>(mVersion) },
        { "servers", static_cast<std::int64_t>(mServers.Servers().size()) },
        { "proven", AreAllConfirmed(aNow) } });
  }
}

bool
control::AreAllConfirmed(clock::time_point aNow) const
{
  return !mGroups.empty() &&
         std::all_of(mGroups.begin(), mGroups.end(), [&](const auto& aEntry) {
           const auto& confirmation = aEntry.second->monitor.Confirmation();
           return aNow < confirmation.askedAt + mMonitorSettings.validity;
         });
}

void
control::Schedule()
{
  auto next = std::min({ mConfigurationView.NextTick(),
                         mServersView.NextTick(),
                         mClusterView.NextTick(),
                         mRegistration.NextTick(),
                         NextFreshnessCheck(),
                         mTokenClient.NextTick(),
                         mScheduler.Next(),
                         mWatchBatch.NextTick(),
                         mNextReachUpdate });
  const auto poll = PlanPoll(clock::Now());
  if (poll.forwarder || poll.others) {
    next = std::min(next, mNextPoll);
  }
  if (EnforcesQuotas()) {
    next = std::min(next, mNextShare);
  }
  if (!mSubscribers.Empty()) {
    next = std::min(next, mForwardingBatch.NextTick());
  }
  mTicker.ScheduleAt(next);
}

control::group*
control::MarkPending(const std::string& aService)
{
  auto* found = Find(aService);
  if (found != nullptr) {
    mScheduler.MarkPending(aService);
  }
  return found;
}

control::group*
control::Find(const std::string& aService)
{
  const auto found = mGroups.find(aService);
  return found == mGroups.end() ? nullptr : found->second.get();
}

const control::group*
control::Find(const std::string& aService) const
{
  const auto found = mGroups.find(aService);
  return found == mGroups.end() ? nullptr : found->second.get();
}

} // namespace currantshed::node
