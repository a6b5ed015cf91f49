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

// Time between two words of a VM on its own way to the primaries, for each VM
// that gives such words, and its bounds: whoever watches a group needs some
// fresh words, not many.
constexpr milliseconds kReachByVm{ 25 };
constexpr milliseconds kShortestReach{ 250 };
constexpr milliseconds kLongestReach{ 2000 };
// The same for a VM that the store lists no longer: whoever takes a duty over
// learns of it only by that, and until then it has no proofs but its own. It
// also speaks to a few others at a time, so that its links stay few.
constexpr milliseconds kOffListReach{ 1000 };
// After this time a VM takes callers though a group has no primary.
constexpr milliseconds kReadyWithoutProof{ 1500 };
// Pauses after a change, before the next ones are asked for: operators' changes
// in quick succession, and what servers write while they start, cost each VM a
// call for each pause. Both are far below the times in which changes count.
constexpr milliseconds kConfigurationPause{ 300 };
constexpr milliseconds kServersPause{ 400 };
constexpr milliseconds kServersPauseByServer{ 40 };
// However many there are: only a few VMs of a failure domain make these calls,
// and what they learn must be soon enough for all.
constexpr milliseconds kLongestServersPause{ 800 };
constexpr milliseconds kLongestOwnPause{ 300 };
// How long the first reading of the other keys waits for that of the own ones,
// which tells who may hand them over.
constexpr milliseconds kOwnKeysFirst{ 500 };
// Life of a VM's lease, and the time between renewals. VMs that hold a duty or
// feed others have a short one. For all others the price counts: with the long
// one a VM's renewals cost half as much.
constexpr milliseconds kShortLease{ 2000 };
constexpr milliseconds kShortRenewal{ 650 };
constexpr milliseconds kLongLease{ 4000 };
constexpr milliseconds kLongRenewal{ 1300 };

// How long a byte of a document takes on the VM's link; the store sends three
// bytes as four.
std::chrono::nanoseconds
ByteTime(const node_settings& aSettings)
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
  , mLeadSettings(aLead)
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
               EraBegan(aBefore, aNow);
             } })
  , mConfigurationView(
      mStore,
      aDocuments.ConfigurationKey(),
      { .pauseAfterChange = kConfigurationPause,
        .timePerByte = ByteTime(aSettings) },
      Listener("configuration",
               [this](clock::time_point) { ConfigurationChanged(); }))
  , mServersView(
      mStore,
      aDocuments.ServersPrefix(),
      { .pauseAfterChange = kServersPause,
        .pausePerKey = kServersPauseByServer,
        .maxPauseByKeys = kLongestServersPause },
      Listener("servers",
               [this](clock::time_point aNow) { ServersChanged(aNow); }))
  , mOwnView(mStore,
             std::string(kClusterPrefix),
             { .maxPauseByKeys = kLongestOwnPause },
             Listener("own_keys",
                      [this](clock::time_point aNow) { OwnKeysChanged(aNow); }))
  , mRegistration(mStore, mOwnView, VmKey(aSettings.vm), { LongLease() })
  , mNews(mContext,
          mZmq,
          mSelf.where,
          mSelf.incarnation,
          [this](const news::News& aNews,
                 const news::exchange::clock_converter& aClock,
                 clock::time_point aNow) { Received(aNews, aClock, aNow); })
  , mTurn(absl::Uniform<std::size_t>(mRandom, 0, 4096))
  , mForwardingTimeouts(aSettings.configurationBound)
  , mKnownVms(aSettings.vm)
  , mFreshness(aSettings.keyBound)
  , mBank(aSettings.quotaWindow)
  , mDuties(aSettings.vm)
  , mStartedAt(clock::Now())
  , mTicker(mContext, [this] { Tick(); })
{
  mUseKnownAt = mStartedAt;
  for (auto* view : { &mConfigurationView, &mServersView }) {
    view->ForwardedUntil(mStartedAt + mForwardingTimeouts.DiscoveryTimeout());
    view->DelayFirstReadUntil(mStartedAt + kOwnKeysFirst);
  }
  mOwnView.ForwardedUntil(mStartedAt +
                          mForwardingTimeouts.ClusterDiscoveryTimeout());
  mRegistration.SetValue(SerializeVm(mSelf));
  mRegistration.OnWritten([this] { Tick(); });
  mRegistration.OnRecovered([this] {
    const auto now = clock::Now();
    HoldViews();
    for (auto* view : Views()) {
      if (now >= view->ForwardedUntil()) {
        view->Refresh(now);
      }
    }
    Schedule();
  });
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
  if (const auto error = mNews.Listen()) {
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
          if (auto* found = Touch(aService)) {
            found->lead.LeadershipDenied(aTerm, clock::Now());
            Perform(clock::Now());
          }
        });
      },
      [this](const std::string& aCustomer, unsigned aCount) {
        boost::asio::post(mContext, [this, aCustomer, aCount] {
          WantTokens(aCustomer, aCount, clock::Now());
        });
      } });
  boost::asio::post(mContext, [this] { Tick(); });
  mThread = std::thread([this] { mContext.run(); });
  return {};
}

void
control::Leave()
{
  mIsReady = false;
  boost::asio::post(mContext, [this] {
    mIsLeaving = true;
    mIsReady = false;
    mSelf.leaving = true;
    mRegistration.SetValue(SerializeVm(mSelf));
    Tick();
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
    mNews.Close();
    mWork.reset();
    mContext.stop();
  });
  mThread.join();
}

void
control::ConfigurationChanged()
{
  const auto& items = mConfigurationView.Items();
  const auto found = items.find(mDocuments.ConfigurationKey());
  if (found == items.end()) {
    return;
  }
  std::string whyNot;
  auto read = mDocuments.ReadConfiguration(found->second.value, whyNot);
  if (read == nullptr) {
    log::Write(
      log::level::kError, "configuration_unreadable", { { "reason", whyNot } });
    return;
  }
  if (read->version == mVersion) {
    mInForce = found->second.changed;
  }
  if (read->version <= mVersion) {
    log::Write(log::level::kWarning,
               "configuration_ignored",
               { { "version", static_cast<std::int64_t>(read->version) },
                 { "in_force", static_cast<std::int64_t>(mVersion) } });
    return;
  }
  mVersion = read->version;
  mInForce = found->second.changed;
  mMetrics.SetConfiguration(mVersion);
  log::Write(
    log::level::kInfo,
    "configuration_in_force",
    { { "version", static_cast<std::int64_t>(mVersion) },
      { "routes", static_cast<std::int64_t>(read->routes.size()) },
      { "services", static_cast<std::int64_t>(read->services.size()) },
      { "customers",
        read->customers == nullptr
          ? log::value(log::unknown{})
          : log::value(static_cast<std::int64_t>(read->customers->Size())) } });
  for (const auto& reason : read->unreadableCustomers) {
    log::Write(
      log::level::kError, "customer_unreadable", { { "reason", reason } });
  }
  const bool toldApart = mCustomers != nullptr;
  mCustomers = read->customers;
  ServicesChanged(*read);
  mTraffic.SetConfiguration(std::move(read));
  if (!toldApart && mCustomers != nullptr) {
    NoteCollectors();
  }
  UpdateReadiness(clock::Now());
}

// Entries of servers are read anew only where other services may be meant.
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

// A VM that is gone must be known soon where others wait for what it did.
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
control::OwnKeysChanged(clock::time_point aNow)
{
  NoteEra(aNow);
  const auto changes =
    UpdateClusterState(mOwnKeys, mOwnView.Items(), mOwnView.TakeChangedKeys());
  NoteDuties(changes);
  if (changes.isAll || changes.isFleetRecorded || !changes.vms.empty()) {
    FleetChanged(aNow);
  }
  NoteListed(aNow);
  UpdateReadiness(aNow);
  Tick();
}

// This VM stands on the list for the first time: it asks others what they know.
void
control::NoteListed(clock::time_point aNow)
{
  if (mListedAt != clock::time_point{} || !mRegistration.IsListed()) {
    return;
  }
  mListedAt = aNow;
  auto asked = mForwarders.empty() ? SomeDutyHolders() : mForwarders;
  AppendMissing(asked, NextFew(aNow));
  for (const auto& vm : asked) {
    SendReachTo(vm, true, aNow);
  }
}

store::prefix_view::listener
control::Listener(const std::string& aWhat,
                  std::function<void(clock::time_point)> aChanged)
{
  return { [this, changed = std::move(aChanged)](clock::time_point aNow) {
            changed(aNow);
            TellSubscribers(aNow);
          },
           [this, aWhat](bool aIsReached, std::error_code aWhy) {
             NoteStore(aWhat, aIsReached, aWhy);
           },
           [this, aWhat](store::revision aRead, store::revision aSeen) {
             NoteIgnored(aWhat, aRead, aSeen);
           } };
}

void
control::EraBegan(std::optional<store::era_id> aBefore, store::era_id aNow)
{
  mMetrics.SetStoreEra(aNow);
  if (!aBefore) {
    return;
  }
  mHasReturned = true;
  log::Write(
    log::level::kWarning,
    "store_returned",
    { { "era_before", static_cast<std::int64_t>(*aBefore) },
      { "store_era", static_cast<std::int64_t>(aNow) },
      { "configuration",
        static_cast<std::int64_t>(mConfigurationView.Seen().number) },
      { "servers", static_cast<std::int64_t>(mServersView.Seen().number) },
      { "own_keys", static_cast<std::int64_t>(mOwnView.Seen().number) } });
  for (auto* view : Views()) {
    view->OnEraChanged(clock::Now());
  }
  Schedule();
}

void
control::NoteIgnored(const std::string& aWhat,
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

void
control::NoteStore(const std::string& aWhat,
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
  KeepFresh(now);
  KeepQuotas(now);
  Poll(now);
  if (mServers.IsDue(now)) {
    ServersChanged(now);
  }
  KeepDuties(now);
  SetMayConfirm();
  for (const auto& service : mAgenda.Due(now)) {
    if (auto* due = Touch(service)) {
      due->lead.Tick(now);
    }
  }
  if (now >= mNextReach) {
    mNextReach = now + ReachInterval(now);
    NoteVms(now);
    SetPlaces(now);
    SendReach(now);
    mNews.CloseIdle(now);
  }
  EndSettling(now);
  KeepFleet(now);
  UpdateReadiness(now);
  Perform(now);
}

std::chrono::milliseconds
control::ReachInterval(clock::time_point aNow) const
{
  const auto vms = static_cast<int>(mOwnKeys.vms.size());
  const auto usual =
    std::clamp(kReachByVm * vms, kShortestReach, kLongestReach);
  return IsOffTheList(aNow) ? std::min(usual, kOffListReach) : usual;
}

void
control::TickStore(clock::time_point aNow)
{
  const bool hasRead = mConfigurationView.IsKnown() && mServersView.IsKnown() &&
                       mOwnView.IsKnown();
  mStore.SetCallTimeout(store::CallTimeout(aNow - mStartedAt, hasRead));
  HoldViews();
  mConfigurationView.Tick(aNow, absl::Uniform<double>(mRandom, 0, 1));
  mServersView.Tick(aNow, absl::Uniform<double>(mRandom, 0, 1));
  mOwnView.Tick(aNow, absl::Uniform<double>(mRandom, 0, 1));
  mRegistration.Tick(aNow, absl::Uniform<double>(mRandom, 0, 1));
}

// While the store does not answer this VM, only the renewal of its lease goes
// on asking, which costs a tenth of any other call.
void
control::HoldViews()
{
  for (auto* view : Views()) {
    view->SetPaused(view->IsKnown() && mRegistration.IsFailing());
  }
}

bool
control::ReachesStore() const
{
  return mOwnView.IsReached() && !mRegistration.IsFailing();
}

void
control::UpdateReadiness(clock::time_point aNow)
{
  const bool known = mVersion != 0 && !mServers.Servers().empty() &&
                     mListedAt != clock::time_point{};
  const bool enough =
    mIsReady || aNow >= mListedAt + kReadyWithoutProof || AreAllProved(aNow);
  const bool hasKeys = mFreshness.Holds(aNow) || mIsReady;
  const bool ready =
    known && enough && hasKeys && !mIsLeaving && !IsCutOff(aNow);
  if (ready != mIsReady) {
    mIsReady = ready;
    log::Write(
      log::level::kInfo,
      ready ? "ready" : "not_ready",
      { { "version", static_cast<std::int64_t>(mVersion) },
        { "servers", static_cast<std::int64_t>(mServers.Servers().size()) },
        { "proven", AreAllProved(aNow) } });
  }
}

bool
control::AreAllProved(clock::time_point aNow) const
{
  return !mGroups.empty() &&
         std::all_of(mGroups.begin(), mGroups.end(), [&](const auto& aEntry) {
           const auto& confirmation = aEntry.second->lead.Confirmation();
           return aNow < confirmation.askedAt + mLeadSettings.validity;
         });
}

void
control::Schedule()
{
  auto next = std::min({ mConfigurationView.NextTick(),
                         mServersView.NextTick(),
                         mOwnView.NextTick(),
                         mRegistration.NextTick(),
                         NextFreshness(),
                         mTokens.NextTick(),
                         mAgenda.Next(),
                         mWatches.NextTick(),
                         mNextReach });
  if (!mForwarders.empty()) {
    next = std::min(next, mNextPoll);
  }
  if (KeepsQuotas()) {
    next = std::min(next, mNextShare);
  }
  if (!mSubscribers.Empty()) {
    next = std::min(next, mRelays.NextTick());
  }
  mTicker.ScheduleAt(next);
}

control::group*
control::Touch(const std::string& aService)
{
  auto* found = Find(aService);
  if (found != nullptr) {
    mAgenda.Touch(aService);
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
