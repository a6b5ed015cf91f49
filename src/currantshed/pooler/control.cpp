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

constexpr milliseconds kHousekeeping{ 500 };
/// VMs of each failure domain that watch the configuration at the platform.
constexpr unsigned kWatchers = 3;
/// What the choice of those VMs is hashed by.
constexpr const char* kWatchName = "watch/configuration";
/// Least time between two questions for a configuration.
constexpr milliseconds kAskPause{ 100 };

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

/// A seed that differs between processes and is the same for one of them.
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
                 status_board& aBoard,
                 traffic& aTraffic)
  : mSettings(aSettings)
  , mMetrics(aMetrics)
  , mBoard(aBoard)
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
        [this](const store::entry& aEntry) { ConfigurationRead(aEntry); } })
  , mPeers(mContext,
           aZmq,
           [this](wire::message aMessage,
                  std::size_t aBytes,
                  const peer_links::responder& aRespond) {
             Received(std::move(aMessage), aBytes, aRespond);
           })
  , mMembership(member::MakeMembership(MembershipSettings(aSettings),
                                       SeedOf(aSettings.incarnation)))
  , mGuards({ mContext, aSettings, *mPlatform, *mDialect, aMetrics },
            GuardListener())
  , mMembershipTimer(mContext, [this] { TickRoster(); })
  , mHousekeeper(mContext, [this] { Housekeep(); })
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
    TickRoster();
    mPlatformLink.Start();
    Housekeep();
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
    TickRoster();
    TellBoard();
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
control::Received(wire::message aMessage,
                  std::size_t aBytes,
                  const peer_links::responder& aRespond)
{
  if (const auto* beat = std::get_if<member::heartbeat>(&aMessage)) {
    Heard(*beat, aBytes);
  } else if (const auto* question =
               std::get_if<wire::configuration_request>(&aMessage)) {
    if (mConfiguration.Held().version > question->knownVersion) {
      wire::configuration told = mConfiguration.Held();
      told.vms = mListing.Held().vms;
      told.groups = mListing.Held().groups;
      aRespond(told);
    }
  } else if (const auto* offered =
               std::get_if<wire::configuration>(&aMessage)) {
    PeerTold(*offered);
  }
}

void
control::Heard(const member::heartbeat& aBeat, std::size_t aBytes)
{
  mMetrics.HeartbeatReceived(aBytes);
  mMembership->HeartbeatArrived(aBeat, Now());
  mGuards.Heard(aBeat);
  if (aBeat.configuration > mConfiguration.Held().version) {
    AskForConfiguration(AddressOf(aBeat.sender));
  }
  TickRoster();
}

void
control::SendHeartbeats()
{
  for (const auto& beat : mMembership->TakeHeartbeats()) {
    const std::string bytes = wire::Encode(beat.message, Now());
    if (mPeers.Send(AddressOf(beat.to), bytes)) {
      mMetrics.HeartbeatSent(bytes.size());
    }
  }
}

void
control::AskForConfiguration(const peer_address& aPeer)
{
  const auto now = Now();
  if (now - mAskedPeersAt < kAskPause) {
    return;
  }
  mAskedPeersAt = now;
  // Without a list of its own this process asks for all that the peer has.
  const wire::configuration_request question{ mListing.HasAny()
                                                ? mConfiguration.Held().version
                                                : 0 };
  (void)mPeers.Send(aPeer, wire::Encode(question, now));
}

void
control::AskPeers()
{
  for (const auto& peer : mSettings.firstPeers) {
    mAskedPeersAt = {};
    AskForConfiguration(peer);
  }
  for (const auto& vm : mMembership->Live()) {
    if (vm.id != mSettings.self.id) {
      mAskedPeersAt = {};
      AskForConfiguration(AddressOf(vm));
    }
  }
}

void
control::Listed(store::listing aListing)
{
  const bool differs = mListing.Take(std::move(aListing));
  mMembership->Listed(mListing.Held().vms, Now());
  if (differs) {
    mMembership->SetGroups(NamesOf(mListing.Held().groups));
    Reconsider();
  }
  TickRoster();
}

void
control::ConfigurationRead(const store::entry& aEntry)
{
  if (aEntry.version == 0) {
    return;
  }
  const auto record = policy::ParseConfigurationRecord(aEntry.value);
  if (record) {
    Offer({ record->version, record->declaration, {}, {} });
  } else {
    log::Write(log::level::kError, "configuration_unreadable");
  }
}

void
control::PeerTold(const wire::configuration& aTold)
{
  if (!mListing.HasAny() && !aTold.groups.empty()) {
    log::Write(log::level::kInfo, "list_taken_from_peer");
    Listed({ aTold.vms, aTold.groups });
  }
  Offer({ aTold.version, aTold.declaration, {}, {} });
}

void
control::Offer(const wire::configuration& aOffered)
{
  if (!mConfiguration.Offer(aOffered)) {
    return;
  }
  const std::uint64_t version = mConfiguration.Held().version;
  log::Write(log::level::kInfo,
             "configuration_in_force",
             { { "version", static_cast<std::int64_t>(version) } });
  mMetrics.SetConfigurationVersion(version);
  if (!mLimits.Take(mConfiguration.Held().declaration)) {
    log::Write(log::level::kError,
               "declaration_faulty",
               { { "version", static_cast<std::int64_t>(version) } });
  }
  mMembership->SetConfiguration(version);
  TellTraffic();
  TellBoard();
  TickRoster();
}

void
control::TickRoster()
{
  mMembership->Tick(Now());
  SendHeartbeats();
  if (mMembership->Version() != mSeenMembership) {
    Reconsider();
  }
  mMembershipTimer.ScheduleAt(mMembership->NextTick());
}

void
control::Reconsider()
{
  mSeenMembership = mMembership->Version();
  mMetrics.SetLiveVms(mMembership->Live().size());
  mPlatformLink.SetWatching(IsWatcher());
  mPlatformLink.SetFleet(mMembership->Live().size());
  if (!mListing.HasAny()) {
    TellTraffic();
    return;
  }
  std::vector<owned_group> owned;
  for (const auto& group : mListing.Held().groups) {
    const auto owners = mMembership->Owners(group.name);
    const int rank = RankOf(owners);
    if (rank >= 0) {
      owned.push_back({ group,
                        static_cast<unsigned>(rank),
                        static_cast<unsigned>(owners.size()) });
    }
  }
  mGuards.Assign(owned, Now());
  TellTraffic();
  TellBoard();
}

group_guard::listener
control::GuardListener()
{
  return { [this](const member::term_update& aNews) {
            mMembership->SetTerm(aNews);
            mMembershipTimer.ScheduleAt(Now());
            TellBoard();
          },
           [this](const failover::suspicion& aWord) {
             mMembership->SetSuspicion(aWord);
             mMembershipTimer.ScheduleAt(Now());
           },
           [this](const group::group_name& aGroup, bool aIsCutOff) {
             mTraffic.PassOn(aGroup, aIsCutOff);
           } };
}

void
control::TellTraffic()
{
  wire::view view;
  view.live = mMembership->Live();
  view.groups = NamesOf(mListing.Held().groups);
  view.owners = mSettings.owners;
  view.configurationVersion = mConfiguration.Held().version;
  view.declaration = mConfiguration.Held().declaration;
  mTraffic.Publish(std::move(view));
  if (!mListing.HasAny()) {
    return;
  }
  group_assignment assignment{ mLimits.Apply(mListing.Held().groups), {} };
  for (const auto& group : mListing.Held().groups) {
    if (RankOf(mMembership->Owners(group.name)) == 0) {
      assignment.led.push_back(group.name);
    }
  }
  mTraffic.Assign(std::move(assignment));
}

void
control::TellBoard()
{
  control_status status;
  status.configurationVersion = mConfiguration.Held().version;
  status.hasList = mListing.HasAny();
  status.isLeaving = mIsLeaving;
  for (const auto& news : mGuards.News()) {
    const int rank = RankOf(mMembership->Owners(news.group));
    status.groups.push_back({ news, rank });
  }
  mBoard.SetControl(std::move(status));
}

void
control::Housekeep()
{
  mGuards.Release(Now());
  if (!mConfiguration.HasAny() || !mListing.HasAny()) {
    AskPeers();
  }
  mMetrics.SetControlTime(ThreadTime());
  mHousekeeper.ScheduleAt(Now() + kHousekeeping);
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
  return RankOf(member::ChooseOwners(kWatchName, neighbours, kWatchers)) >= 0;
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
