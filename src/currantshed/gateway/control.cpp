#include "currantshed/gateway/control.hpp"

#include <utility>
#include <variant>

#include <boost/json.hpp>

#include "currantshed/log/log.hpp"
#include "currantshed/member/membership.hpp"
#include "currantshed/policy/declaration.hpp"

namespace currantshed::gateway {

namespace {

/// Interval between subscription requests to this VM's pooler; the replies also
/// serve as its heartbeat.
constexpr std::chrono::milliseconds kRequestInterval{ 500 };
/// Time without a reply from this VM's pooler after which the gateway isn't
/// ready.
constexpr std::chrono::milliseconds kPoolerTimeout{ 2000 };

std::vector<store::vm>
WithoutLeaving(const std::vector<store::vm>& aVms)
{
  std::vector<store::vm> activeVms;
  for (const auto& vm : aVms) {
    if (!vm.leaving) {
      activeVms.push_back(vm);
    }
  }
  return activeVms;
}

boost::json::array
DescribeGroups(const fleet_view& aView)
{
  boost::json::array groups;
  const auto activeVms = WithoutLeaving(aView.live);
  for (const auto& name : aView.groups) {
    boost::json::array owners;
    for (const auto& vm : member::ChooseOwners(name, activeVms, aView.owners)) {
      owners.emplace_back(vm.id);
    }
    groups.push_back({ { "group", name }, { "owners", std::move(owners) } });
  }
  return groups;
}

} // namespace

control::control(boost::asio::io_context& aContext,
                 zmq::context_t& aZmq,
                 const gateway_settings& aSettings,
                 std::string aIncarnation,
                 control_events& aEvents)
  : mContext(aContext)
  , mSettings(aSettings)
  , mIncarnation(std::move(aIncarnation))
  , mEvents(aEvents)
  , mPooler(aContext, aZmq, {})
  , mTimer(aContext)
{
}

control::~control() = default;

void
control::Start()
{
  const auto error =
    mPooler.Connect(mSettings.poolerAddress,
                    mSettings.poolerPort,
                    [this](std::string_view aBytes) { OnReceived(aBytes); });
  if (error) {
    log::Write(log::level::kError,
               "pooler_connect_failed",
               { { "reason", error.message() } });
  }
  RequestUpdates();
}

void
control::BeginShutdown()
{
  const std::lock_guard lock(mMutex);
  mShuttingDown = true;
}

bool
control::Ready() const
{
  const std::lock_guard lock(mMutex);
  return !mShuttingDown && mConfiguration != 0 && !mView.live.empty() &&
         std::chrono::steady_clock::now() - mLastReplyAt < kPoolerTimeout;
}

std::string
control::StatusJson() const
{
  const bool ready = Ready();
  const std::lock_guard lock(mMutex);
  return boost::json::serialize(
    boost::json::object{ { "vm", mSettings.vm },
                         { "failure_domain", mSettings.failureDomain },
                         { "incarnation", mIncarnation },
                         { "ready", ready },
                         { "leaving", mShuttingDown },
                         { "configuration_version", mConfiguration },
                         { "view_version", mView.version },
                         { "live_vms", mView.live.size() },
                         { "groups", DescribeGroups(mView) } });
}

void
control::RequestUpdates()
{
  const wire::subscribe_request request{ mView.version, mConfiguration };
  // A request that can't be sent is repeated at the next interval.
  (void)mPooler.Send(wire::Encode(request, std::chrono::steady_clock::now()));
  mTimer.expires_after(kRequestInterval);
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      RequestUpdates();
    }
  });
}

void
control::OnReceived(std::string_view aBytes)
{
  const auto read = wire::Decode(aBytes, std::chrono::steady_clock::now());
  const auto* view = std::get_if<wire::view>(&read.body);
  if (read.error || view == nullptr) {
    log::Write(log::level::kWarning,
               "pooler_message_dropped",
               { { "reason", read.error.message() } });
    return;
  }
  ApplyView(*view);
}

void
control::ApplyView(const wire::view& aView)
{
  if (!aView.declaration.empty()) {
    ApplyDeclaration(aView.configurationVersion, aView.declaration);
  }
  fleet_view next{ aView.version, aView.live, aView.groups, aView.owners };
  bool changed = false;
  {
    const std::lock_guard lock(mMutex);
    mLastReplyAt = std::chrono::steady_clock::now();
    changed = next.version != mView.version || next.live != mView.live ||
              next.groups != mView.groups || next.owners != mView.owners;
    mView = next;
  }
  if (changed) {
    log::Write(log::level::kInfo,
               "view_changed",
               { { "version", static_cast<std::int64_t>(next.version) },
                 { "live_vms", static_cast<std::int64_t>(next.live.size()) } });
    mEvents.ViewChanged(next);
  }
}

void
control::ApplyDeclaration(std::uint64_t aVersion, const std::string& aText)
{
  if (aVersion <= mConfiguration) {
    return;
  }
  auto read = policy::ParseDeclaration(aText);
  if (!read.faults.empty()) {
    log::Write(log::level::kError,
               "configuration_rejected",
               { { "version", static_cast<std::int64_t>(aVersion) },
                 { "fault", read.faults.front().message } });
    return;
  }
  {
    const std::lock_guard lock(mMutex);
    mConfiguration = aVersion;
  }
  log::Write(log::level::kInfo,
             "configuration_changed",
             { { "version", static_cast<std::int64_t>(aVersion) } });
  mEvents.RulesChanged({ aVersion, std::move(read.value.classes) });
}

} // namespace currantshed::gateway
