#include "currantshed/node/traffic.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "currantshed/clock/now.hpp"
#include "currantshed/log/log.hpp"

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// File descriptors reserved for servers, peers, the store and files.
constexpr std::size_t kOtherDescriptors = 600;
constexpr std::size_t kMinCallers = 64;
// How long callers are accepted after the signal to stop: the platform needs
// two probes, one second apart, to see that the VM is not ready.
constexpr milliseconds kHandoverTime{ 2500 };
// Time reserved at the end for sending the last answers.
constexpr milliseconds kFlushReserve{ 400 };
constexpr milliseconds kDrainCheck{ 50 };

std::int64_t
Milliseconds(clock::duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

std::size_t
MaxCallers(std::size_t aDescriptors)
{
  return aDescriptors > kOtherDescriptors + kMinCallers
           ? aDescriptors - kOtherDescriptors
           : kMinCallers;
}

} // namespace

traffic::traffic(const node_settings& aSettings,
                 const proxy::engine_settings& aEngine,
                 const line_codec& aCodec,
                 metrics& aMetrics)
  : mSettings(aSettings)
  , mMetrics(aMetrics)
  , mConnector(mContext, aCodec)
  , mEngine(aEngine, mConnector, *this)
  , mCallers(
      mContext,
      caller_server::endpoint_kind::kCallers,
      aCodec,
      mEngine,
      MaxCallers(aSettings.descriptors),
      [this] { return mIsConfigured; },
      [this] { AfterEvent(); })
  , mRelays(
      mContext,
      caller_server::endpoint_kind::kRelays,
      aCodec,
      mEngine,
      MaxCallers(aSettings.descriptors),
      [this] { return mIsConfigured; },
      [this] { AfterEvent(); })
  , mTicker(mContext,
            [this] {
              mEngine.Tick(clock::Now());
              AfterEvent();
            })
  , mDrainTimer(mContext)
{
}

traffic::~traffic() = default;

void
traffic::SetListener(traffic_listener aListener)
{
  mListener = std::move(aListener);
}

std::error_code
traffic::Listen()
{
  AfterEvent();
  if (const auto error =
        mRelays.Listen(mSettings.relays.host, mSettings.relays.port)) {
    return error;
  }
  return mCallers.Listen(mSettings.callers.host, mSettings.callers.port);
}

void
traffic::SetConfiguration(
  std::shared_ptr<const proxy::configuration> aConfiguration)
{
  boost::asio::post(
    mContext, [this, configuration = std::move(aConfiguration)]() mutable {
      mIsConfigured = true;
      mEngine.SetConfiguration(std::move(configuration), clock::Now());
      mCallers.OnConfigured();
      mCallers.RetryPendingKeys();
      AfterEvent();
    });
}

void
traffic::SetFreshness(const customer::freshness& aFreshness)
{
  boost::asio::post(mContext, [this, aFreshness] {
    mEngine.SetFreshness(aFreshness);
    mCallers.RetryPendingKeys();
    AfterEvent();
  });
}

void
traffic::ApplyTokenResults(std::vector<token_result> aResults)
{
  boost::asio::post(mContext, [this, results = std::move(aResults)] {
    const auto now = clock::Now();
    for (const auto& one : results) {
      if (one.granted > 0) {
        mEngine.GrantTokens(one.customer, one.granted, one.askedAt, now);
      } else {
        mEngine.RefuseTokens(one.customer, one.refused, one.retryAfter, now);
      }
    }
    AfterEvent();
  });
}

void
traffic::CloseIdleCustomerSessions()
{
  boost::asio::post(mContext, [this] {
    mEngine.CloseIdleCustomerSessions();
    AfterEvent();
  });
}

void
traffic::SetServers(std::vector<proxy::server> aServers)
{
  boost::asio::post(mContext, [this, servers = std::move(aServers)] {
    mEngine.SetServers(servers, clock::Now());
    AfterEvent();
  });
}

void
traffic::SetFleet(std::vector<proxy::fleet_vm> aFleet)
{
  boost::asio::post(mContext, [this, fleet = std::move(aFleet)] {
    mEngine.SetFleet(fleet, clock::Now());
    AfterEvent();
  });
}

void
traffic::Confirm(const std::string& aService,
                 const proxy::confirmation& aConfirmation)
{
  boost::asio::post(mContext, [this, aService, aConfirmation] {
    mEngine.Confirm(aService, aConfirmation, clock::Now());
    AfterEvent();
  });
}

void
traffic::AddSample(const std::string& aService,
                   const proxy::position_sample& aSample)
{
  boost::asio::post(mContext, [this, aService, aSample] {
    mEngine.AddSample(aService, aSample);
  });
}

void
traffic::Revoke(const std::string& aService,
                position::term_id aTerm,
                std::function<void()> aDone)
{
  boost::asio::post(mContext, [this, aService, aTerm, done = std::move(aDone)] {
    mEngine.Revoke(aService, aTerm);
    done();
  });
}

void
traffic::SendControl(const upstream::server_id& aServer,
                     const proxy::command& aCommand,
                     bool aDirect,
                     milliseconds aTimeout,
                     control_callback aDone)
{
  boost::asio::post(mContext,
                    [this,
                     aServer,
                     aCommand,
                     aDirect,
                     aTimeout,
                     done = std::move(aDone)]() mutable {
                      mEngine.SendControl(
                        aServer,
                        aCommand,
                        aDirect,
                        aTimeout,
                        [this, aServer, done = std::move(done)](
                          const proxy::control_result& aResult) {
                          done(aResult, mEngine.LastContactAt(aServer));
                        },
                        clock::Now());
                      AfterEvent();
                    });
}

void
traffic::QueryServerContacts(clock::time_point aSince, contacts_callback aDone)
{
  boost::asio::post(mContext, [this, aSince, done = std::move(aDone)] {
    done(mEngine.ContactsSince(aSince));
  });
}

void
traffic::QueryUsedServices(clock::time_point aSince,
                           std::function<void(std::vector<std::string>)> aDone)
{
  boost::asio::post(mContext, [this, aSince, done = std::move(aDone)] {
    done(mEngine.ServicesUsedSince(aSince));
  });
}

// The platform routes callers to other VMs within two seconds. Until then
// requests are served as usual, and afterwards sessions are closed as they
// become idle.
void
traffic::Drain(milliseconds aMaxTime)
{
  boost::asio::post(mContext, [this, aMaxTime] {
    mDrainTime = aMaxTime;
    mDrainStart = clock::Now();
    mDrainTimer.expires_after(std::min(kHandoverTime, aMaxTime / 2));
    mDrainTimer.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        CloseIdle();
      }
    });
  });
}

void
traffic::CloseIdle()
{
  mCallers.StopListening();
  mEngine.Drain();
  AfterEvent();
  const auto half = mDrainStart + mDrainTime / 2;
  mDrainTimer.expires_at(std::max(half, clock::Now()));
  mDrainTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      EndTransactions();
    }
  });
}

void
traffic::EndTransactions()
{
  mEngine.EndIdleTransactions(clock::Now());
  StopIfDone();
}

void
traffic::StopIfDone()
{
  const auto end = mDrainStart + mDrainTime - kFlushReserve;
  if (mCallers.Connections() == 0 || clock::Now() >= end) {
    log::Write(
      log::level::kInfo,
      "drained",
      { { "sessions_left", static_cast<std::int64_t>(mCallers.Connections()) },
        { "requests_left", static_cast<std::int64_t>(mEngine.Requests()) } });
    mContext.stop();
    return;
  }
  mEngine.EndIdleTransactions(clock::Now());
  mDrainTimer.expires_after(kDrainCheck);
  mDrainTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      StopIfDone();
    }
  });
}

void
traffic::NeedsConfirmation(const std::string& aService)
{
  if (mListener.needsConfirmation) {
    mListener.needsConfirmation(aService);
  }
}

void
traffic::LeadershipDenied(const std::string& aService, position::term_id aTerm)
{
  if (mListener.leadershipDenied) {
    mListener.leadershipDenied(aService, aTerm);
  }
}

void
traffic::NeedsTokens(const std::string& aCustomer, unsigned aCount)
{
  if (mListener.needsTokens) {
    mListener.needsTokens(aCustomer, aCount);
  }
}

void
traffic::Decided(const proxy::decision& aDecision)
{
  mMetrics.Decided(aDecision);
  const auto level =
    aDecision.ordinary ? log::level::kDebug : log::level::kInfo;
  if (!log::IsLevelEnabled(level)) {
    return;
  }
  std::string floor = "none";
  if (aDecision.floor) {
    floor = std::to_string(aDecision.floor->term) + "." +
            std::to_string(aDecision.floor->index);
  }
  const log::value floorAge = aDecision.floor
                                ? log::value(Milliseconds(aDecision.floorAge))
                                : log::unknown{};
  const log::value confirmationAge =
    aDecision.confirmationAge >= clock::duration::zero()
      ? log::value(Milliseconds(aDecision.confirmationAge))
      : log::unknown{};
  const log::value drainingFor =
    aDecision.drainingFor ? log::value(Milliseconds(*aDecision.drainingFor))
                          : log::unknown{};
  log::Write(level,
             "request",
             { { "request", std::string(aDecision.requestId) },
               { "session", static_cast<std::int64_t>(aDecision.session) },
               { "outcome", std::string(aDecision.outcome) },
               { "reason", std::string(aDecision.reason) },
               { "customer", std::string(aDecision.customer) },
               { "service", std::string(aDecision.service) },
               { "server", std::string(aDecision.server) },
               { "needs_primary", aDecision.needsPrimary },
               { "priority", static_cast<std::int64_t>(aDecision.priority) },
               { "tries", static_cast<std::int64_t>(aDecision.tries) },
               { "waited_ms", Milliseconds(aDecision.waited) },
               { "proof_age_ms", confirmationAge },
               { "floor", floor },
               { "floor_age_ms", floorAge },
               { "server_leaving_ms", drainingFor } });
}

void
traffic::ConnectionChanged(std::string_view aEvent, std::string_view aReason)
{
  mMetrics.CountConnection(aEvent, aReason);
}

void
traffic::ReachabilityChanged(const proxy::server& aServer,
                             bool aIsReachable,
                             std::string_view aReason)
{
  mMetrics.CountServerReached(aIsReachable);
  log::Write(aIsReachable ? log::level::kInfo : log::level::kWarning,
             aIsReachable ? "server_reached" : "server_lost",
             { { "server", aServer.id },
               { "service", aServer.service },
               { "address", aServer.address },
               { "reason", std::string(aReason) } });
}

void
traffic::ServerEjected(const proxy::server& aServer,
                       const balance::ejection& aWhy)
{
  mMetrics.CountEjection(aWhy.reason);
  log::Write(
    log::level::kWarning,
    "server_ejected",
    { { "server", aServer.id },
      { "service", aServer.service },
      { "reason", std::string(aWhy.reason) },
      { "failure_permille", static_cast<std::int64_t>(aWhy.failurePermille) },
      { "reported_permille", static_cast<std::int64_t>(aWhy.reportedPermille) },
      { "duration_ms", Milliseconds(aWhy.duration) },
      { "repetitions", static_cast<std::int64_t>(aWhy.repetitions) } });
}

void
traffic::ServerReturned(const proxy::server& aServer)
{
  log::Write(log::level::kInfo,
             "server_returned",
             { { "server", aServer.id }, { "service", aServer.service } });
}

void
traffic::AfterEvent()
{
  mMetrics.SetSessions(mEngine.Sessions());
  mTicker.ScheduleAt(mEngine.NextTick());
}

} // namespace currantshed::node
