#include "currantshed/pooler/group_runner.hpp"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "currantshed/upstream/endpoint.hpp"

namespace currantshed::pooler {

namespace {

clock::time_point
Now()
{
  return std::chrono::steady_clock::now();
}

group::engine_settings
EngineSettings(const settings& aSettings)
{
  group::engine_settings engine;
  engine.validity = aSettings.validity;
  engine.transactionIdle = aSettings.transactionIdle;
  engine.queueLimit = aSettings.queueLimit;
  engine.takeoverReserve = aSettings.takeoverReserve;
  return engine;
}

} // namespace

group_runner::group_runner(boost::asio::io_context& aContext,
                           const settings& aSettings,
                           const upstream::dialect& aDialect,
                           prometheus::Registry& aMetrics,
                           const group::group_name& aGroup,
                           answer_callback aAnswer)
  : mContext(aContext)
  , mSettings(aSettings)
  , mDialect(aDialect)
  , mMetrics(aMetrics, aGroup)
  , mAnswer(std::move(aAnswer))
  , mEngine(group::MakeEngine(EngineSettings(aSettings)))
  , mStatusTimeout(EngineSettings(aSettings).statusTimeout)
  , mTimer(aContext, [this] {
    mEngine->Tick(Now());
    ExecuteActions();
  })
{
}

group_runner::~group_runner()
{
  for (const auto& [id, link] : mLinks) {
    mMetrics.AddConnections(link.server, -1);
  }
}

void
group_runner::Configure(const group::description& aGroup)
{
  if (aGroup == mGroup) {
    return;
  }
  for (const auto& member : mGroup.members) {
    const auto& now = aGroup.members;
    if (std::find(now.begin(), now.end(), member) == now.end()) {
      mChannels.erase(member.id);
    }
  }
  mGroup = aGroup;
  mEngine->Configure(aGroup, Now());
  ExecuteActions();
}

void
group_runner::Submit(group::request aRequest)
{
  mEngine->Submit(std::move(aRequest), Now(), std::chrono::system_clock::now());
  ExecuteActions();
}

void
group_runner::Cancel(group::request_id aRequest)
{
  mEngine->Cancel(aRequest, Now());
  ExecuteActions();
}

void
group_runner::Drain()
{
  mEngine->Drain(Now());
  ExecuteActions();
}

std::size_t
group_runner::Pending() const noexcept
{
  return mEngine->Pending();
}

void
group_runner::ExecuteActions()
{
  // An action may call back synchronously; the loop then also executes the
  // actions that result.
  if (mIsExecuting) {
    return;
  }
  mIsExecuting = true;
  auto actions = mEngine->TakeActions();
  while (!actions.empty()) {
    for (auto& action : actions) {
      std::visit([this](auto& aAction) { Execute(aAction); }, action);
    }
    actions = mEngine->TakeActions();
  }
  mIsExecuting = false;
  mTimer.ScheduleAt(mEngine->NextTick());
}

void
group_runner::Execute(const group::open_connection& aAction)
{
  const group::connection_id id = aAction.connection;
  const group::member* member = Find(aAction.server);
  if (member == nullptr) {
    mEngine->ConnectionFailed(id, Now());
    return;
  }
  auto connection = std::make_unique<upstream::pq_connection>(
    mContext, EndpointOf(*member, aAction.readOnly));
  connection->OnLost([this, id] { Lost(id); });
  connection->Open([this, id](bool aIsOpen) { Opened(id, aIsOpen); });
  mLinks.emplace(id, link{ std::move(connection), aAction.server });
  mMetrics.AddConnections(aAction.server, 1);
}

void
group_runner::Execute(const group::close_connection& aAction)
{
  Drop(aAction.connection);
}

void
group_runner::Execute(group::run_batch& aAction)
{
  const auto found = mLinks.find(aAction.connection);
  if (found == mLinks.end()) {
    return;
  }
  const group::connection_id id = aAction.connection;
  const std::uint64_t batch = aAction.batch;
  found->second.connection->Run(aAction.statements,
                                mSettings.answerLimitBytes,
                                [this, id, batch](upstream::reply aReply) {
                                  mEngine->Replied(
                                    id, batch, std::move(aReply), Now());
                                  ExecuteActions();
                                });
}

void
group_runner::Execute(const group::request_status& aAction)
{
  const upstream::server_id& server = aAction.server;
  const group::member* member = Find(server);
  if (member == nullptr) {
    mEngine->StatusFailed(server, Now());
    return;
  }
  auto& channel = mChannels[server];
  if (!channel) {
    channel =
      std::make_unique<server_channel>(mContext, EndpointOf(*member, false));
  }
  channel->Query(mDialect.Status(),
                 mStatusTimeout,
                 [this, server](const std::optional<upstream::reply>& aReply,
                                clock::time_point aSentAt) {
                   StatusReplied(server, aReply, aSentAt);
                 });
}

void
group_runner::Execute(group::give_answer& aAction)
{
  mAnswer(std::move(aAction.reply));
}

void
group_runner::Opened(group::connection_id aConnection, bool aIsOpen)
{
  if (aIsOpen) {
    mEngine->ConnectionOpened(aConnection, Now());
  } else {
    Drop(aConnection);
    mEngine->ConnectionFailed(aConnection, Now());
  }
  ExecuteActions();
}

void
group_runner::Lost(group::connection_id aConnection)
{
  Drop(aConnection);
  mEngine->ConnectionLost(aConnection, Now());
  ExecuteActions();
}

void
group_runner::Drop(group::connection_id aConnection)
{
  const auto found = mLinks.find(aConnection);
  if (found == mLinks.end()) {
    return;
  }
  mMetrics.AddConnections(found->second.server, -1);
  mLinks.erase(found);
}

void
group_runner::StatusReplied(const upstream::server_id& aServer,
                            const std::optional<upstream::reply>& aReply,
                            clock::time_point aSentAt)
{
  std::optional<upstream::server_status> status;
  if (aReply && aReply->end == upstream::batch_end::kComplete &&
      !aReply->results.empty()) {
    status = mDialect.ReadStatus(aReply->results.front());
  }
  mMetrics.CountStatusQuery(status.has_value());
  if (status) {
    mEngine->StatusArrived(aServer, *status, aSentAt, Now());
  } else {
    mEngine->StatusFailed(aServer, Now());
  }
  ExecuteActions();
}

const group::member*
group_runner::Find(const upstream::server_id& aServer) const
{
  const auto& members = mGroup.members;
  const auto found =
    std::find_if(members.begin(), members.end(), [&](const auto& aMember) {
      return aMember.id == aServer;
    });
  return found == members.end() ? nullptr : &*found;
}

upstream::endpoint
group_runner::EndpointOf(const group::member& aMember, bool aReadOnly) const
{
  upstream::endpoint endpoint;
  endpoint.address = aMember.address;
  endpoint.port = aMember.port;
  endpoint.vm = mSettings.self.id;
  endpoint.readOnly = aReadOnly;
  return endpoint;
}

} // namespace currantshed::pooler
