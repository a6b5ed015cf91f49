#include "currantshed/pooler/group_monitor.hpp"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "currantshed/log/log.hpp"
#include "currantshed/upstream/endpoint.hpp"

namespace currantshed::pooler {

namespace {

/// Timeout of fence, promote and follow commands.
constexpr std::chrono::milliseconds kCommandTimeout{ 1000 };
/// A replica counts as hearing the primary if it has heard from it within this
/// fraction (1/2) of the suspicion timeout. No replica has heard from a failed
/// primary that recently.
constexpr int kHeardWithinDivisor = 2;

clock::time_point
Now()
{
  return std::chrono::steady_clock::now();
}

std::string
RecordKey(const group::group_name& aGroup)
{
  return "currantshed/groups/" + aGroup + "/terms";
}

failover::coordinator_settings
CoordinatorSettings(const settings& aSettings, unsigned aRank, unsigned aOwners)
{
  failover::coordinator_settings coordinator;
  coordinator.vm = aSettings.self.id;
  coordinator.incarnation = aSettings.incarnation;
  coordinator.failureDomain = aSettings.self.failureDomain;
  coordinator.rank = aRank;
  coordinator.owners = aOwners;
  coordinator.probeInterval = aSettings.probeInterval;
  coordinator.suspectAfter = aSettings.suspectAfter;
  coordinator.validity = aSettings.validity;
  return coordinator;
}

std::int64_t
Number(position::term_id aTerm)
{
  return static_cast<std::int64_t>(aTerm);
}

} // namespace

group_monitor::group_monitor(const dependencies& aDependencies,
                             group::group_name aName,
                             unsigned aRank,
                             unsigned aOwners,
                             listener aListener)
  : mDependencies(aDependencies)
  , mName(std::move(aName))
  , mListener(std::move(aListener))
  , mCoordinator(failover::MakeCoordinator(
      CoordinatorSettings(aDependencies.settings, aRank, aOwners)))
  , mProbeTimeout(failover::coordinator_settings{}.probeTimeout)
  , mRank(aRank)
  , mOwners(aOwners)
  , mLatestTerm{ mName, 0, {} }
  , mReachability(aDependencies.settings.suspectAfter / kHeardWithinDivisor)
  , mTimer(aDependencies.context, [this] {
    mCoordinator->Tick(Now());
    ExecuteActions();
  })
{
}

group_monitor::~group_monitor()
{
  *mAlive = false;
  if (mIsCutOff) {
    mListener.cutOff(mName, false);
  }
}

void
group_monitor::Configure(const group::description& aGroup,
                         unsigned aRank,
                         unsigned aOwners)
{
  if (aGroup == mGroup && aRank == mRank && aOwners == mOwners) {
    return;
  }
  for (const auto& member : mGroup.members) {
    const auto& now = aGroup.members;
    if (std::find(now.begin(), now.end(), member) == now.end()) {
      mChannels.erase(member.id);
    }
  }
  mGroup = aGroup;
  mRank = aRank;
  mOwners = aOwners;
  mCoordinator->Configure(aGroup, aRank, aOwners, Now());
  ExecuteActions();
}

void
group_monitor::OnHeartbeat(const member::heartbeat& aBeat)
{
  const auto now = Now();
  failover::suspicion suspicion{ mName, 0, {} };
  for (const auto& reported : aBeat.suspicions) {
    if (reported.group == mName) {
      suspicion = reported;
    }
  }
  mCoordinator->PeerSuspects(
    aBeat.sender.id, aBeat.sender.failureDomain, suspicion, now);
  for (const auto& update : aBeat.terms) {
    if (update.group == mName) {
      mCoordinator->PeerAnnounces(update.term, update.primary, now);
    }
  }
  ExecuteActions();
}

void
group_monitor::ExecuteActions()
{
  if (mIsExecuting) {
    return;
  }
  mIsExecuting = true;
  auto actions = mCoordinator->TakeActions();
  while (!actions.empty()) {
    for (const auto& action : actions) {
      ObserveStep(action);
      std::visit([this](const auto& aAction) { Execute(aAction); }, action);
    }
    actions = mCoordinator->TakeActions();
  }
  mIsExecuting = false;
  CheckReachability();
  mTimer.ScheduleAt(mCoordinator->NextTick());
}

void
group_monitor::CheckReachability()
{
  const bool isCutOff = mReachability.IsCutOff(Now());
  if (isCutOff == mIsCutOff) {
    return;
  }
  mIsCutOff = isCutOff;
  log::Write(log::level::kWarning,
             isCutOff ? "cut_off_from_primary" : "primary_reached_again",
             { { "group", mName }, { "primary", mLatestTerm.primary } });
  mListener.cutOff(mName, isCutOff);
}

void
group_monitor::ObserveStep(const failover::action& aAction)
{
  const auto step = mStepTimer.Observe(aAction, Now());
  if (step) {
    mDependencies.metrics.ObserveFailoverStep(mName, step->name, step->elapsed);
  }
}

void
group_monitor::Execute(const failover::probe& aAction)
{
  const upstream::server_id server = aAction.server;
  Query(server,
        mDependencies.dialect.Status(),
        mProbeTimeout,
        [this, server](const std::optional<upstream::server_status>& aStatus,
                       bool aAccepted,
                       clock::time_point aSentAt) {
          if (aAccepted) {
            mReachability.OnStatus(*aStatus, Now());
            mCoordinator->StatusArrived(server, *aStatus, aSentAt, Now());
          } else {
            mCoordinator->StatusFailed(server, Now());
          }
        });
}

void
group_monitor::Execute(const failover::fence& aAction)
{
  log::Write(log::level::kWarning,
             "fence",
             { { "group", mName },
               { "term", Number(aAction.term) },
               { "server", aAction.server } });
  Query(aAction.server,
        mDependencies.dialect.Fence(aAction.term),
        kCommandTimeout,
        [this, aAction](const std::optional<upstream::server_status>& aStatus,
                        bool aAccepted,
                        clock::time_point) {
          mCoordinator->FenceAnswered(
            aAction.server,
            aAction.term,
            aAccepted,
            aStatus.value_or(upstream::server_status{}),
            Now());
        });
}

void
group_monitor::Execute(const failover::promote& aAction)
{
  mPromotedTerm = aAction.term;
  log::Write(log::level::kWarning,
             "promote",
             { { "group", mName },
               { "term", Number(aAction.term) },
               { "server", aAction.server } });
  Query(aAction.server,
        mDependencies.dialect.Promote(aAction.term),
        kCommandTimeout,
        [this, aAction](const std::optional<upstream::server_status>& aStatus,
                        bool aAccepted,
                        clock::time_point) {
          mCoordinator->PromoteAnswered(
            aAction.server,
            aAction.term,
            aAccepted,
            aStatus.value_or(upstream::server_status{}),
            Now());
        });
}

void
group_monitor::Execute(const failover::follow& aAction)
{
  const group::member* primary = Find(aAction.primary);
  if (primary == nullptr) {
    mCoordinator->FollowAnswered(
      aAction.server, aAction.term, false, {}, Now());
    return;
  }
  log::Write(log::level::kInfo,
             "follow",
             { { "group", mName },
               { "term", Number(aAction.term) },
               { "server", aAction.server },
               { "primary", aAction.primary } });
  Query(
    aAction.server,
    mDependencies.dialect.Follow(aAction.term, primary->address, primary->port),
    kCommandTimeout,
    [this, aAction](const std::optional<upstream::server_status>& aStatus,
                    bool aAccepted,
                    clock::time_point) {
      mCoordinator->FollowAnswered(aAction.server,
                                   aAction.term,
                                   aAccepted,
                                   aStatus.value_or(upstream::server_status{}),
                                   Now());
    });
}

void
group_monitor::Execute(const failover::read_record& /*aAction*/)
{
  mDependencies.platform.Get(
    RecordKey(mName),
    [this, alive = mAlive](std::error_code aError, const store::entry& aEntry) {
      if (!*alive) {
        return;
      }
      mDependencies.metrics.CountPlatformCall("read_terms", !aError);
      mCoordinator->RecordRead(!aError, aEntry, Now());
      ExecuteActions();
    });
}

void
group_monitor::Execute(const failover::swap_record& aAction)
{
  mDependencies.platform.Swap(
    RecordKey(mName),
    aAction.value,
    aAction.expected,
    [this, alive = mAlive](store::swap_outcome aOutcome) {
      if (!*alive) {
        return;
      }
      const bool isKnown = aOutcome != store::swap_outcome::kUnknown;
      mDependencies.metrics.CountPlatformCall("write_terms", isKnown);
      mCoordinator->RecordSwapped(aOutcome, Now());
      ExecuteActions();
    });
}

void
group_monitor::Execute(const failover::announce& aAction)
{
  const member::term_update update{ mName, aAction.term, aAction.primary };
  if (update.term == mLatestTerm.term &&
      update.primary == mLatestTerm.primary) {
    return;
  }
  mLatestTerm = update;
  log::Write(log::level::kInfo,
             "primary_known",
             { { "group", mName },
               { "term", Number(update.term) },
               { "primary", update.primary } });
  if (update.term == mPromotedTerm) {
    mDependencies.metrics.CountFailover(mName);
  }
  mListener.announced(update);
}

void
group_monitor::Execute(const failover::report_suspicion& aAction)
{
  log::Write(log::level::kInfo,
             aAction.report.primary.empty() ? "suspicion_withdrawn"
                                            : "primary_suspected",
             { { "group", mName },
               { "term", Number(aAction.report.term) },
               { "primary", aAction.report.primary } });
  mReachability.Suspect(aAction.report);
  mListener.suspected(aAction.report);
}

void
group_monitor::Query(const upstream::server_id& aServer,
                     upstream::statement aQuery,
                     std::chrono::milliseconds aTimeout,
                     answered aDone)
{
  const group::member* member = Find(aServer);
  if (member == nullptr) {
    aDone(std::nullopt, false, Now());
    return;
  }
  auto& channel = mChannels[aServer];
  if (!channel) {
    upstream::endpoint endpoint;
    endpoint.address = member->address;
    endpoint.port = member->port;
    endpoint.vm = mDependencies.settings.self.id;
    channel = std::make_unique<server_channel>(mDependencies.context,
                                               std::move(endpoint));
  }
  channel->Query(
    std::move(aQuery),
    aTimeout,
    [this, done = std::move(aDone)](
      const std::optional<upstream::reply>& aReply, clock::time_point aSentAt) {
      std::optional<upstream::server_status> status;
      if (aReply && aReply->end == upstream::batch_end::kComplete &&
          !aReply->results.empty()) {
        status = mDependencies.dialect.ReadStatus(aReply->results.front());
      }
      done(status, status.has_value(), aSentAt);
      ExecuteActions();
    });
}

const group::member*
group_monitor::Find(const upstream::server_id& aServer) const
{
  const auto& members = mGroup.members;
  const auto found =
    std::find_if(members.begin(), members.end(), [&](const auto& aMember) {
      return aMember.id == aServer;
    });
  return found == members.end() ? nullptr : &*found;
}

} // namespace currantshed::pooler
