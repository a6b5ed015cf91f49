#include "currantshed/gateway/worker.hpp"

#include <utility>
#include <variant>

#include <boost/asio/post.hpp>

#include "currantshed/log/log.hpp"

namespace currantshed::gateway {

namespace {

/// Interval of metrics updates and of checks whether all requests are answered.
constexpr std::chrono::milliseconds kMetricsInterval{ 100 };

clock::time_point
Now()
{
  return std::chrono::steady_clock::now();
}

engine_settings
EngineSettings(const gateway_settings& aSettings, unsigned aNumber)
{
  engine_settings made = aSettings.engine;
  made.seed += aNumber;
  return made;
}

// Logs one line whenever connections are closed, so that a request that a
// caller lost can be traced to the time and state of the connection.
void
LogClosed(std::string_view aWhen, const closed_connections& aClosed)
{
  const auto count = [](std::size_t aCount) {
    return static_cast<std::int64_t>(aCount);
  };
  log::Write(log::level::kInfo,
             "callers_closed",
             { { "when", std::string(aWhen) },
               { "kept", count(aClosed.kept) },
               { "fresh", count(aClosed.fresh) },
               { "unread", count(aClosed.unread) },
               { "busy", count(aClosed.busy) } });
}

} // namespace

worker::worker(const gateway_settings& aSettings,
               unsigned aNumber,
               zmq::context_t& aZmq,
               metrics& aMetrics)
  : mSettings(aSettings)
  , mGuard(mContext.get_executor())
  , mEngine(MakeEngine(EngineSettings(aSettings, aNumber), aSettings.keys))
  , mLinks(mContext, aZmq, *this)
  , mServer(mContext, aSettings.callers, *this)
  , mRecorder(aMetrics)
  , mTick(mContext,
          [this] {
            mEngine->Tick(Now());
            RunActions();
          })
  , mMetricsTimer(mContext)
{
}

worker::~worker() = default;

std::error_code
worker::Start()
{
  if (const auto error =
        mServer.Start(mSettings.address, mSettings.callerPort)) {
    return error;
  }
  UpdateMetrics();
  mThread = std::thread([this] { mContext.run(); });
  return {};
}

void
worker::SetView(fleet_view aView)
{
  boost::asio::post(mContext, [this, view = std::move(aView)]() mutable {
    mLinks.SetVms(view.live);
    mEngine->ViewChanged(std::move(view), Now());
    RunActions();
  });
}

void
worker::SetRules(class_rules aRules)
{
  boost::asio::post(mContext, [this, rules = std::move(aRules)]() mutable {
    (void)mEngine->Configure(std::move(rules));
  });
}

void
worker::BeginShutdown()
{
  boost::asio::post(mContext, [this] { mServer.BeginShutdown(); });
}

void
worker::Drain(std::function<void()> aDrained)
{
  boost::asio::post(mContext, [this, done = std::move(aDrained)]() mutable {
    mDrained = std::move(done);
    mServer.StopListening();
    CheckDrained();
  });
}

void
worker::RefuseNew()
{
  boost::asio::post(mContext, [this] { mEngine->Drain(); });
}

void
worker::ExpireAll()
{
  boost::asio::post(mContext, [this] {
    LogClosed("drain_timed_out", mServer.CloseIdle());
    mEngine->ExpireAll(Now());
    RunActions();
  });
}

void
worker::Stop()
{
  if (!mThread.joinable()) {
    return;
  }
  boost::asio::post(mContext, [this] {
    LogClosed("stop", mServer.Stop());
    mContext.stop();
  });
  mThread.join();
}

void
worker::Submit(caller_request aRequest)
{
  aRequest.generatedKey =
    outcome::idempotency_key::Make(std::chrono::system_clock::now(),
                                   absl::Uniform<std::uint64_t>(mRandom),
                                   absl::Uniform<std::uint64_t>(mRandom));
  mEngine->Submit(std::move(aRequest), Now());
  RunActions();
}

void
worker::Cancel(request_number aRequest)
{
  mEngine->Cancel(aRequest, Now());
  RunActions();
}

void
worker::CountRefused()
{
  mRecorder.CountRefused();
}

void
worker::PoolerAnswered(wire::group_answer aAnswer)
{
  mEngine->PoolerAnswered(
    std::move(aAnswer.answer), std::move(aAnswer.incarnation), Now());
  RunActions();
}

void
worker::NotSent(group::request_id aRequest)
{
  mEngine->NotSent(aRequest, Now());
  RunActions();
}

void
worker::PoolerLost(const std::string& aVm)
{
  mEngine->PoolerLost(aVm, Now());
  RunActions();
}

void
worker::RunActions()
{
  for (auto& next : mEngine->TakeActions()) {
    if (auto* message = std::get_if<send_to_pooler>(&next)) {
      mLinks.Send(std::move(*message));
    } else if (auto* gone = std::get_if<cancel_at_pooler>(&next)) {
      mLinks.Cancel(gone->vm, gone->request);
    } else {
      const auto& given = std::get<give_answer>(next);
      mRecorder.Answered(given);
      mServer.Answer(given.answer);
    }
  }
  const auto due = mEngine->NextTick();
  if (due != clock::time_point::max()) {
    mTick.ScheduleAt(due);
  }
}

void
worker::UpdateMetrics()
{
  mRecorder.Update(
    mEngine->Counters(), mEngine->Pending(), mServer.Connections());
  CheckDrained();
  mMetricsTimer.expires_after(kMetricsInterval);
  mMetricsTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      UpdateMetrics();
    }
  });
}

void
worker::CheckDrained()
{
  if (mDrained && mEngine->Pending() == 0 && mServer.Connections() == 0) {
    std::exchange(mDrained, nullptr)();
  }
}

} // namespace currantshed::gateway
