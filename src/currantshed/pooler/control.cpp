#include "currantshed/pooler/control.hpp"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <utility>
#include <variant>

#include <boost/asio/post.hpp>
#include <xxhash.h>

#include "currantshed/log/log.hpp"
#include "currantshed/policy/configuration_record.hpp"
#include "currantshed/store/http_client.hpp"

namespace currantshed::pooler {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMaintenanceInterval{ 500 };
/// Number of VMs per failure domain that watch the configuration at the
/// platform.
constexpr unsigned kWatchers = 3;
/// Key that is hashed to choose those VMs.
constexpr const char* kWatcherHashKey = "watch/configuration";
/// Minimum time between two requests for the configuration.
constexpr milliseconds kMinRequestInterval{ 100 };

clock::time_point
Now()
{
  return std::chrono::steady_clock::now();
}

member::membership_settings
MembershipSettings(const settings& aSettings)
{
  member::membership_settings membership;
  membership.self = aSettings.self;
  membership.incarnation = aSettings.incarnation;
  membership.owners = aSettings.owners;
  return membership;
}

/// Seed that differs between processes and is stable within one.
std::uint64_t
SeedOf(const failover::incarnation_id& aIncarnation)
{
  return XXH3_64bits(aIncarnation.data(), aIncarnation.size());
}

std::chrono::nanoseconds
ThreadTime()
{
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::seconds(used.tv_sec) +
         std::chrono::nanoseconds(used.tv_nsec);
}

peer_address
AddressOf(const store::vm& aVm)
{
  return { aVm.address, aVm.peerPort };
}

std::vector<group::group_name>
NamesOf(const std::vector<group::description>& aGroups)
{
  std::vector<group::group_name> names;
  names.reserve(aGroups.size());
  for (const auto& group : aGroups) {
    names.push_back(group.name);
  }
  return names;
}

} // namespace

control::control(const settings& aSettings,
                 zmq::context_t& aZmq,
                 metrics& aMetrics,
                 status_reporter& aStatusReporter,
                 traffic& aTraffic)
  : mSettings(aSettings)
  , mMetrics(aMetrics)
  , mStatusReporter(aStatusReporter)
  , mTraffic(aTraffic)
  , mWork(boost::asio::make_work_guard(mContext))
  , mDialect(upstream::MakePostgresDialect())
  , mPlatform(store::MakeHttpClient(mContext,
                                    aSettings.platformUrl,
                                    aSettings.platformTimeout))
  , mPlatformLink(
      mContext,
      aSettings,
      *mPlatform,
      aMetrics,
      { [this](store::listing aListing) { Listed(std::move(aListing)); },
        [this](const store::entry& aEntry) { OnConfigurationEntry(aEntry); } })
  , mPeers(mContext,
           aZmq,
           [this](wire::message aMessage,
                  std::size_t aBytes,
                  const peer_links::responder& aRespond) {
             OnMessage(std::move(aMessage), aBytes, aRespond);
           })
  , mMembership(member::MakeMembership(MembershipSettings(aSettings),
                                       SeedOf(aSettings.incarnation)))
  , mMonitors({ mContext, aSettings, *mPlatform, *mDialect, aMetrics },
              MakeMonitorListener())
  , mMembershipTimer(mContext, [this] { TickMembership(); })
  , mMaintenanceTimer(mContext, [this] { RunMaintenance(); })
{
}

control::~control()
{
  Stop();
}

std::error_code
control::Start()
{
  const auto error =
    mPeers.Bind(mSettings.self.address, mSettings.self.peerPort);
  if (error) {
    return error;
  }
  mThread = std::thread([this] {
    TickMembership();
    mPlatformLink.Start();
    RunMaintenance();
    mContext.run();
  });
  return {};
}

void
control::Leave()
{
  boost::asio::post(mContext, [this] {
    mIsLeaving = true;
    mMembership->Leave();
    TickMembership();
    UpdateStatus();
    log::Write(log::level::kInfo, "leaving");
  });
}

void
control::Stop()
{
  mContext.stop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
control::OnMessage(wire::message aMessage,
                   std::size_t aBytes,
                   const peer_links::responder& aRespond)
{
  if (const auto* beat = std::get_if<member::heartbeat>(&aMessage)) {
    OnHeartbeat(*beat, aBytes);
  } else if (const auto* query =
               std::get_if<wire::configuration_request>(&aMessage)) {
    if (mConfiguration.Current().version > query->knownVersion) {
      wire::configuration response = mConfiguration.Current();
      response.vms = mListing.Current().vms;
      response.groups = mListing.Current().groups;
      aRespond(response);
    }
  } else if (const auto* offered =
               std::get_if<wire::configuration>(&aMessage)) {
    OnPeerConfiguration(*offered);
  }
}

void
control::OnHeartbeat(const member::heartbeat& aBeat, std::size_t aBytes)
{
  mMetrics.CountHeartbeatReceived(aBytes);
  mMembership->HeartbeatArrived(aBeat, Now());
  mMonitors.OnHeartbeat(aBeat);
  if (aBeat.configuration > mConfiguration.Current().version) {
    RequestConfiguration(AddressOf(aBeat.sender));
  }
  TickMembership();
}

void
control::SendHeartbeats()
{
  for (const auto& beat : mMembership->TakeHeartbeats()) {
    const std::string bytes = wire::Encode(beat.message, Now());
    if (mPeers.Send(AddressOf(beat.to), bytes)) {
      mMetrics.CountHeartbeatSent(bytes.size());
    }
  }
}

void
control::RequestConfiguration(const peer_address& aPeer)
{
  const auto now = Now();
  if (now - mLastPeerRequestAt < kMinRequestInterval) {
    return;
  }
  mLastPeerRequestAt = now;
  // Without a listing, version zero requests everything that the peer has.
  const wire::configuration_request query{ mListing.HasAny()
                                             ? mConfiguration.Current().version
                                             : 0 };
  (void)mPeers.Send(aPeer, wire::Encode(query, now));
}

void
control::RequestFromPeers()
{
  for (const auto& peer : mSettings.bootstrapPeers) {
    mLastPeerRequestAt = {};
    RequestConfiguration(peer);
  }
  for (const auto& vm : mMembership->Live()) {
    if (vm.id != mSettings.self.id) {
      mLastPeerRequestAt = {};
      RequestConfiguration(AddressOf(vm));
    }
  }
}

void
control::Listed(store::listing aListing)
{
  const bool differs = mListing.Update(std::move(aListing));
  mMembership->Listed(mListing.Current().vms, Now());
  if (differs) {
    mMembership->SetGroups(NamesOf(mListing.Current().groups));
    UpdateAssignments();
  }
  TickMembership();
}

void
control::OnConfigurationEntry(const store::entry& aEntry)
{
  if (aEntry.version == 0) {
    return;
  }
  const auto record = policy::ParseConfigurationRecord(aEntry.value);
  if (record) {
    ApplyIfNewer({ record->version, record->declaration, {}, {} });
  } else {
    log::Write(log::level::kError, "configuration_unreadable");
  }
}

void
control::OnPeerConfiguration(const wire::configuration& aUpdate)
{
  if (!mListing.HasAny() && !aUpdate.groups.empty()) {
    log::Write(log::level::kInfo, "list_taken_from_peer");
    Listed({ aUpdate.vms, aUpdate.groups });
  }
  ApplyIfNewer({ aUpdate.version, aUpdate.declaration, {}, {} });
}

void
control::ApplyIfNewer(const wire::configuration& aOffered)
{
  if (!mConfiguration.ApplyIfNewer(aOffered)) {
    return;
  }
  const std::uint64_t version = mConfiguration.Current().version;
  log::Write(log::level::kInfo,
             "configuration_in_force",
             { { "version", static_cast<std::int64_t>(version) } });
  mMetrics.SetConfigurationVersion(version);
  if (!mDeclaredLimits.Update(mConfiguration.Current().declaration)) {
    log::Write(log::level::kError,
               "declaration_faulty",
               { { "version", static_cast<std::int64_t>(version) } });
  }
  mMembership->SetConfiguration(version);
  UpdateTraffic();
  UpdateStatus();
  TickMembership();
}

void
control::TickMembership()
{
  mMembership->Tick(Now());
  SendHeartbeats();
  if (mMembership->Version() != mSeenMembershipVersion) {
    UpdateAssignments();
  }
  mMembershipTimer.ScheduleAt(mMembership->NextTick());
}

void
control::UpdateAssignments()
{
  mSeenMembershipVersion = mMembership->Version();
  mMetrics.SetLiveVms(mMembership->Live().size());
  mPlatformLink.SetWatching(IsWatcher());
  mPlatformLink.SetFleetSize(mMembership->Live().size());
  if (!mListing.HasAny()) {
    UpdateTraffic();
    return;
  }
  std::vector<owned_group> owned;
  for (const auto& group : mListing.Current().groups) {
    const auto owners = mMembership->Owners(group.name);
    const int rank = RankOf(owners);
    if (rank >= 0) {
      owned.push_back({ group,
                        static_cast<unsigned>(rank),
                        static_cast<unsigned>(owners.size()) });
    }
  }
  mMonitors.Assign(owned, Now());
  UpdateTraffic();
  UpdateStatus();
}

group_monitor::listener
control::MakeMonitorListener()
{
  return { [this](const member::term_update& aUpdate) {
            mMembership->SetTerm(aUpdate);
            mMembershipTimer.ScheduleAt(Now());
            UpdateStatus();
          },
           [this](const failover::suspicion& aSuspicion) {
             mMembership->SetSuspicion(aSuspicion);
             mMembershipTimer.ScheduleAt(Now());
           },
           [this](const group::group_name& aGroup, bool aIsCutOff) {
             mTraffic.SetRedirected(aGroup, aIsCutOff);
           } };
}

void
control::UpdateTraffic()
{
  wire::view view;
  view.live = mMembership->Live();
  view.groups = NamesOf(mListing.Current().groups);
  view.owners = mSettings.owners;
  view.configurationVersion = mConfiguration.Current().version;
  view.declaration = mConfiguration.Current().declaration;
  mTraffic.Publish(std::move(view));
  if (!mListing.HasAny()) {
    return;
  }
  group_assignment assignment{ mDeclaredLimits.Apply(mListing.Current().groups),
                               {} };
  for (const auto& group : mListing.Current().groups) {
    if (RankOf(mMembership->Owners(group.name)) == 0) {
      assignment.led.push_back(group.name);
    }
  }
  mTraffic.Assign(std::move(assignment));
}

void
control::UpdateStatus()
{
  control_status status;
  status.configurationVersion = mConfiguration.Current().version;
  status.hasList = mListing.HasAny();
  status.isLeaving = mIsLeaving;
  for (const auto& latestTerm : mMonitors.LatestTerm()) {
    const int rank = RankOf(mMembership->Owners(latestTerm.group));
    status.groups.push_back({ latestTerm, rank });
  }
  mStatusReporter.SetControl(std::move(status));
}

void
control::RunMaintenance()
{
  mMonitors.ReleaseExpired(Now());
  if (!mConfiguration.HasAny() || !mListing.HasAny()) {
    RequestFromPeers();
  }
  mMetrics.SetControlTime(ThreadTime());
  mMaintenanceTimer.ScheduleAt(Now() + kMaintenanceInterval);
}

bool
control::IsWatcher() const
{
  std::vector<store::vm> neighbours;
  for (const auto& vm : mMembership->Live()) {
    if (vm.failureDomain == mSettings.self.failureDomain) {
      neighbours.push_back(vm);
    }
  }
  return RankOf(member::ChooseOwners(kWatcherHashKey, neighbours, kWatchers)) >=
         0;
}

int
control::RankOf(const std::vector<store::vm>& aOwners) const
{
  const auto found =
    std::find_if(aOwners.begin(), aOwners.end(), [this](const auto& aVm) {
      return aVm.id == mSettings.self.id;
    });
  return found == aOwners.end()
           ? -1
           : static_cast<int>(std::distance(aOwners.begin(), found));
}

} // namespace currantshed::pooler
