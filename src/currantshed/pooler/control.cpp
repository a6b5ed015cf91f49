#include "currantshed/pooler/control.hpp"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <utility>
#include <variant>

#include <boost/asio/post.hpp>
#include <xxhash.h>

#include "currantshed/log/log.hpp"
#include "currantshed/platform/http_client.hpp"
#include "currantshed/policy/configuration_record.hpp"

namespace currantshed::pooler {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHousekeeping{ 500 };
/// Longest wait of one watch.
constexpr milliseconds kWatchTime{ 10000 };
/// Pause before the next watch after one that failed or found no key.
constexpr milliseconds kWatchPause{ 500 };
/// Least time between two questions for a configuration.
constexpr milliseconds kAskPause{ 100 };
/// How long a group that is no longer owned keeps its guard.
constexpr milliseconds kReleaseGrace{ 2000 };

clock::time_point
Now()
{
  return std::chrono::steady_clock::now();
}

member::roster_settings
RosterSettings(const settings& aSettings)
{
  member::roster_settings roster;
  roster.self = aSettings.self;
  roster.incarnation = aSettings.incarnation;
  roster.owners = aSettings.owners;
  return roster;
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
AddressOf(const platform::vm& aVm)
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
  , mPlatform(platform::MakeHttpClient(mContext,
                                       aSettings.platformUrl,
                                       aSettings.platformTimeout))
  , mPeers(mContext,
           aZmq,
           [this](wire::message aMessage,
                  std::size_t aBytes,
                  const peer_links::responder& aRespond) {
             Received(std::move(aMessage), aBytes, aRespond);
           })
  , mRoster(member::MakeRoster(RosterSettings(aSettings),
                               SeedOf(aSettings.incarnation)))
  , mOwnership(kReleaseGrace)
  , mRosterTimer(mContext, [this] { TickRoster(); })
  , mListTimer(mContext, [this] { List(); })
  , mWatchTimer(mContext, [this] { WatchConfiguration(); })
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
    List();
    WatchConfiguration();
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
    mRoster->Leave();
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
      aRespond(mConfiguration.Held());
    }
  } else if (const auto* offered =
               std::get_if<wire::configuration>(&aMessage)) {
    Offer(*offered);
  }
}

void
control::Heard(const member::heartbeat& aBeat, std::size_t aBytes)
{
  mMetrics.HeartbeatReceived(aBytes);
  mRoster->HeartbeatArrived(aBeat, Now());
  for (auto& [name, guard] : mGuards) {
    guard->Heard(aBeat);
  }
  if (aBeat.configuration > mConfiguration.Held().version) {
    AskForConfiguration(AddressOf(aBeat.sender));
  }
  TickRoster();
}

void
control::SendHeartbeats()
{
  for (const auto& beat : mRoster->TakeHeartbeats()) {
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
  const wire::configuration_request question{ mConfiguration.Held().version };
  (void)mPeers.Send(aPeer, wire::Encode(question, now));
}

void
control::AskFirstPeers()
{
  for (const auto& peer : mSettings.firstPeers) {
    mAskedPeersAt = {};
    AskForConfiguration(peer);
  }
}

void
control::List()
{
  mPlatform->List([this](std::error_code aError, platform::listing aListing) {
    Listed(aError, std::move(aListing));
  });
}

void
control::Listed(std::error_code aError, platform::listing aListing)
{
  mMetrics.PlatformCalled("list", !aError);
  mListTimer.At(Now() + mSettings.listInterval);
  if (aError) {
    log::Write(log::level::kWarning,
               "platform_list_failed",
               { { "reason", aError.message() } });
    return;
  }
  mListing = std::move(aListing);
  mHasList = true;
  mRoster->Listed(mListing.vms, Now());
  mRoster->SetGroups(NamesOf(mListing.groups));
  Reconsider();
  TickRoster();
}

void
control::WatchConfiguration()
{
  mPlatform->Watch(
    std::string(policy::kConfigurationKey),
    mConfigurationIndex,
    kWatchTime,
    [this](std::error_code aError, const platform::entry& aEntry) {
      ConfigurationRead(aError, aEntry);
    });
}

void
control::ConfigurationRead(std::error_code aError,
                           const platform::entry& aEntry)
{
  mMetrics.PlatformCalled("watch_configuration", !aError);
  const bool isFound = !aError && aEntry.version != 0;
  mConfigurationIndex = isFound ? aEntry.version : 0;
  mWatchTimer.At(Now() + (isFound ? milliseconds(0) : kWatchPause));
  if (!isFound) {
    return;
  }
  const auto record = policy::ParseConfigurationRecord(aEntry.value);
  if (record) {
    Offer({ record->version, record->declaration });
  } else {
    log::Write(log::level::kError, "configuration_unreadable");
  }
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
  mRoster->SetConfiguration(version);
  TellTraffic();
  TellBoard();
  TickRoster();
}

void
control::TickRoster()
{
  mRoster->Tick(Now());
  SendHeartbeats();
  if (mRoster->Version() != mSeenRoster) {
    Reconsider();
  }
  mRosterTimer.At(mRoster->NextTick());
}

void
control::Reconsider()
{
  mSeenRoster = mRoster->Version();
  mMetrics.SetLiveVms(mRoster->Live().size());
  if (!mHasList) {
    TellTraffic();
    return;
  }
  std::vector<group::group_name> owned;
  for (const auto& group : mListing.groups) {
    const auto owners = mRoster->Owners(group.name);
    const int rank = RankOf(owners);
    if (rank >= 0) {
      owned.push_back(group.name);
      GuardGroup(group,
                 static_cast<unsigned>(rank),
                 static_cast<unsigned>(owners.size()));
    }
  }
  mOwnership.Assign(owned, Now());
  TellTraffic();
  TellBoard();
}

void
control::GuardGroup(const group::description& aGroup,
                    unsigned aRank,
                    unsigned aOwners)
{
  auto& guard = mGuards[aGroup.name];
  if (!guard) {
    guard = std::make_unique<group_guard>(
      group_guard::surroundings{
        mContext, mSettings, *mPlatform, *mDialect, mMetrics },
      aGroup.name,
      aRank,
      aOwners,
      group_guard::listener{ [this](const member::term_news& aNews) {
                              mRoster->SetTerm(aNews);
                              mRosterTimer.At(Now());
                              TellBoard();
                            },
                             [this](const failover::suspicion& aWord) {
                               mRoster->SetSuspicion(aWord);
                               mRosterTimer.At(Now());
                             } });
  }
  guard->Configure(aGroup, aRank, aOwners);
}

void
control::ReleaseGroups()
{
  const auto hasNone = [](const group::group_name&) { return false; };
  for (const auto& name : mOwnership.Release(hasNone, Now())) {
    mGuards.erase(name);
    log::Write(
      log::level::kInfo, "group_no_longer_owned", { { "group", name } });
  }
}

void
control::TellTraffic()
{
  wire::view view;
  view.live = mRoster->Live();
  view.groups = NamesOf(mListing.groups);
  view.owners = mSettings.owners;
  view.configurationVersion = mConfiguration.Held().version;
  view.declaration = mConfiguration.Held().declaration;
  mTraffic.Publish(std::move(view));
  if (!mHasList) {
    return;
  }
  group_assignment assignment{ mListing.groups, {} };
  for (const auto& group : mListing.groups) {
    if (RankOf(mRoster->Owners(group.name)) == 0) {
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
  status.hasList = mHasList;
  status.isLeaving = mIsLeaving;
  for (const auto& [name, guard] : mGuards) {
    status.groups.push_back({ guard->News(), RankOf(mRoster->Owners(name)) });
  }
  mBoard.SetControl(std::move(status));
}

void
control::Housekeep()
{
  ReleaseGroups();
  if (!mConfiguration.HasAny()) {
    AskFirstPeers();
  }
  mMetrics.SetControlTime(ThreadTime());
  mHousekeeper.At(Now() + kHousekeeping);
}

int
control::RankOf(const std::vector<platform::vm>& aOwners) const
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
