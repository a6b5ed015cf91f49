#include "currantshed/pooler/traffic.hpp"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include <boost/asio/post.hpp>

#include "currantshed/log/log.hpp"

namespace currantshed::pooler {

namespace {

/// Interval of periodic maintenance.
constexpr std::chrono::milliseconds kMaintenanceInterval{ 500 };
/// Interval of periodic maintenance while draining.
constexpr std::chrono::milliseconds kDrainCheckInterval{ 10 };
/// Time for which the engine of a group that is no longer led is kept.
constexpr std::chrono::milliseconds kReleaseGrace{ 3000 };
/// Retry delay given to callers while this pooler knows no groups yet, or is
/// leaving.
constexpr std::chrono::milliseconds kRetryAfter{ 200 };

/// Time without a request after which draining ends.
constexpr std::chrono::milliseconds kQuietPeriod{ 100 };
/// Maximum time for which requests are refused during draining once nothing is
/// pending.
constexpr std::chrono::milliseconds kMaxRefusalTime{ 2000 };
/// Time to flush the last answers when the socket is closed.
constexpr std::chrono::milliseconds kLingerTimeout{ 500 };

clock::time_point
Now()
{
  return std::chrono::steady_clock::now();
}

std::uint64_t
FirstViewVersion()
{
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(wall).count());
}

/// The linger time allows the last answers of a shutdown to be sent.
net::socket_settings
RouterSettings()
{
  net::socket_settings settings;
  settings.linger = kLingerTimeout;
  return settings;
}

bool
IsInTransaction(group::operation aKind)
{
  return aKind == group::operation::kStatement ||
         aKind == group::operation::kCommit ||
         aKind == group::operation::kRollback;
}

} // namespace

traffic::traffic(const settings& aSettings,
                 zmq::context_t& aZmq,
                 metrics& aMetrics,
                 status_reporter& aStatusReporter)
  : mSettings(aSettings)
  , mMetrics(aMetrics)
  , mStatusReporter(aStatusReporter)
  , mWork(boost::asio::make_work_guard(mContext))
  , mDialect(upstream::MakePostgresDialect())
  , mRouter(mContext, aZmq, RouterSettings())
  , mViews(FirstViewVersion())
  , mOwnership(kReleaseGrace)
  , mTimer(mContext, [this] { RunMaintenance(); })
{
}

traffic::~traffic()
{
  Stop();
}

std::error_code
traffic::Start()
{
  const auto error =
    mRouter.Bind(mSettings.self.address,
                 mSettings.self.poolerPort,
                 [this](std::string_view aPeer, std::string_view aBytes) {
                   OnMessage(aPeer, aBytes);
                 });
  if (error) {
    return error;
  }
  mTimer.ScheduleAt(Now());
  mThread = std::thread([this] { mContext.run(); });
  return {};
}

void
traffic::Stop()
{
  mContext.stop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
traffic::Assign(group_assignment aAssignment)
{
  boost::asio::post(mContext, [this, given = std::move(aAssignment)] {
    ApplyAssignment(given);
  });
}

void
traffic::Publish(wire::view aView)
{
  boost::asio::post(mContext, [this, view = std::move(aView)]() mutable {
    Deliver(mViews.SetView(std::move(view)));
  });
}

void
traffic::SetRedirected(const group::group_name& aGroup, bool aIsOn)
{
  boost::asio::post(mContext, [this, group = aGroup, aIsOn] {
    if (aIsOn) {
      mRedirected.insert(group);
    } else {
      mRedirected.erase(group);
    }
  });
}

void
traffic::Drain(std::function<void()> aDone)
{
  boost::asio::post(mContext, [this, done = std::move(aDone)]() mutable {
    mIsDraining = true;
    mDrained = std::move(done);
    for (auto& [name, runner] : mRunners) {
      runner->Drain();
    }
    mTimer.ScheduleAt(Now());
  });
}

void
traffic::OnMessage(std::string_view aPeer, std::string_view aBytes)
{
  auto decoded = wire::Decode(aBytes, Now());
  if (decoded.error) {
    mMetrics.CountRejectedMessage(decoded.error.message());
    return;
  }
  const std::string peer(aPeer);
  if (auto* request = std::get_if<wire::group_request>(&decoded.body)) {
    Handle(peer, std::move(*request));
  } else if (auto* cancel = std::get_if<wire::cancel_request>(&decoded.body)) {
    Handle(peer, *cancel);
  } else if (auto* subscription =
               std::get_if<wire::subscribe_request>(&decoded.body)) {
    Handle(peer, *subscription);
  } else {
    mMetrics.CountRejectedMessage("message not for this port");
  }
}

void
traffic::Handle(const std::string& aPeer, wire::group_request&& aRequest)
{
  mLastArrival = Now();
  const group::request_id id = aRequest.request.id;
  const bool isOfOtherIncarnation =
    IsInTransaction(aRequest.request.kind) &&
    aRequest.transactionIncarnation != mSettings.incarnation;
  if (isOfOtherIncarnation) {
    // The connection of the transaction ended with the process that had opened
    // it, so the transaction can no longer take effect.
    Refuse(
      aPeer, id, outcome::verdict::kNotRun, outcome::reason::kTransactionLost);
  } else if (!mHasList) {
    Refuse(aPeer, id, outcome::verdict::kNotRun, outcome::reason::kNoPrimary);
  } else if (!mGroups.contains(aRequest.group)) {
    Refuse(
      aPeer, id, outcome::verdict::kRefused, outcome::reason::kUnknownGroup);
  } else if (IsRedirected(aRequest)) {
    Refuse(aPeer, id, outcome::verdict::kNotRun, outcome::reason::kLeaving);
  } else {
    Submit(aPeer, std::move(aRequest));
  }
}

bool
traffic::IsRedirected(const wire::group_request& aRequest) const
{
  return mRedirected.contains(aRequest.group) &&
         !IsInTransaction(aRequest.request.kind);
}

void
traffic::Submit(const std::string& aPeer, wire::group_request&& aRequest)
{
  group_runner* runner = RunnerOf(aRequest.group);
  if (runner == nullptr) {
    Refuse(aPeer,
           aRequest.request.id,
           outcome::verdict::kNotRun,
           outcome::reason::kLeaving);
    return;
  }
  const auto now = Now();
  mOwnership.MarkUsed(aRequest.group, now);
  ++mLastRequest;
  mOrigins.emplace(mLastRequest,
                   origin{ aPeer, aRequest.request.id, aRequest.group, now });
  aRequest.request.id = mLastRequest;
  runner->Submit(std::move(aRequest.request));
}

void
traffic::Handle(const std::string& aPeer, const wire::cancel_request& aRequest)
{
  const auto found =
    std::find_if(mOrigins.begin(), mOrigins.end(), [&](const auto& aEntry) {
      const origin& from = aEntry.second;
      return from.id == aRequest.id && from.peer == aPeer;
    });
  if (found == mOrigins.end()) {
    return;
  }
  const auto runner = mRunners.find(found->second.group);
  const group::request_id id = found->first;
  mOrigins.erase(found);
  if (runner != mRunners.end()) {
    runner->second->Cancel(id);
  }
}

void
traffic::Handle(const std::string& aPeer,
                const wire::subscribe_request& aRequest)
{
  Deliver(mViews.Subscribe(aPeer, aRequest, Now()));
}

void
traffic::Refuse(const std::string& aPeer,
                group::request_id aId,
                outcome::verdict aVerdict,
                outcome::reason aWhy)
{
  group::answer answer;
  answer.request = aId;
  answer.verdict = aVerdict;
  answer.why = aWhy;
  if (aVerdict == outcome::verdict::kNotRun) {
    answer.retryAfter = kRetryAfter;
  }
  Reply(aPeer, std::move(answer));
}

void
traffic::Answer(group::answer aAnswer)
{
  const auto found = mOrigins.find(aAnswer.request);
  if (found == mOrigins.end()) {
    return;
  }
  const origin from = std::move(found->second);
  mOrigins.erase(found);
  const auto runner = mRunners.find(from.group);
  if (runner != mRunners.end()) {
    runner->second->Metrics().CountAnswer(aAnswer, Now() - from.arrivedAt);
  }
  aAnswer.request = from.id;
  Reply(from.peer, std::move(aAnswer));
}

void
traffic::Reply(const std::string& aPeer, group::answer aAnswer)
{
  const auto error = mRouter.Send(
    aPeer, wire::Encode({ std::move(aAnswer), mSettings.incarnation }));
  if (error) {
    // The gateway has gone or is not reading; it resolves the outcome itself
    // where needed.
    mMetrics.CountRejectedMessage("answer: " + error.message());
  }
}

void
traffic::Deliver(const std::vector<view_publisher::delivery>& aViews)
{
  for (const auto& delivery : aViews) {
    (void)mRouter.Send(delivery.peer, wire::Encode(delivery.view, Now()));
  }
}

void
traffic::ApplyAssignment(const group_assignment& aAssignment)
{
  mHasList = true;
  mGroups.clear();
  for (const auto& group : aAssignment.groups) {
    mGroups.emplace(group.name, group);
    const auto runner = mRunners.find(group.name);
    if (runner != mRunners.end()) {
      runner->second->Configure(group);
    }
  }
  mOwnership.Assign(aAssignment.led, Now());
  for (const auto& name : aAssignment.led) {
    (void)RunnerOf(name);
  }
}

group_runner*
traffic::RunnerOf(const group::group_name& aGroup)
{
  const auto found = mRunners.find(aGroup);
  if (found != mRunners.end()) {
    return found->second.get();
  }
  const auto group = mGroups.find(aGroup);
  if (mIsDraining || group == mGroups.end()) {
    return nullptr;
  }
  auto runner = std::make_unique<group_runner>(
    mContext,
    mSettings,
    *mDialect,
    *mMetrics.Registry(),
    aGroup,
    [this](group::answer aAnswer) { Answer(std::move(aAnswer)); });
  runner->Configure(group->second);
  log::Write(log::level::kInfo, "group_served", { { "group", aGroup } });
  return mRunners.emplace(aGroup, std::move(runner)).first->second.get();
}

void
traffic::RunMaintenance()
{
  const auto now = Now();
  mStatusReporter.MarkTrafficAlive(now);
  mViews.RemoveExpired(now);
  const auto hasWork = [this](const group::group_name& aGroup) {
    const auto runner = mRunners.find(aGroup);
    return runner != mRunners.end() && runner->second->Pending() > 0;
  };
  for (const auto& name : mOwnership.ReleaseExpired(hasWork, now)) {
    mRunners.erase(name);
    log::Write(log::level::kInfo, "group_released", { { "group", name } });
  }
  for (auto& [name, runner] : mRunners) {
    runner->Metrics().SetPending(runner->Pending());
  }
  if (mIsDraining && mDrained) {
    CheckDrained(now);
  }
  mTimer.ScheduleAt(now +
                    (mIsDraining ? kDrainCheckInterval : kMaintenanceInterval));
}

void
traffic::CheckDrained(clock::time_point aNow)
{
  if (Pending() > 0) {
    mEmptySince.reset();
    return;
  }
  mEmptySince = mEmptySince.value_or(aNow);
  const bool isQuiet = aNow - mLastArrival >= kQuietPeriod;
  if (isQuiet || aNow - *mEmptySince >= kMaxRefusalTime) {
    std::exchange(mDrained, nullptr)();
  }
}

std::size_t
traffic::Pending() const
{
  std::size_t pending = 0;
  for (const auto& [name, runner] : mRunners) {
    pending += runner->Pending();
  }
  return pending;
}

} // namespace currantshed::pooler
