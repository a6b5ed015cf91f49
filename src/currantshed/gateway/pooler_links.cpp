#include "currantshed/gateway/pooler_links.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "currantshed/log/log.hpp"

namespace currantshed::gateway {

namespace {

/// How long a request waits for its connection to be established.
constexpr std::chrono::milliseconds kConnectTimeout{ 300 };
constexpr std::chrono::milliseconds kExpiryInterval{ 50 };

bool
HasSameEndpoint(const store::vm& aLeft, const store::vm& aRight)
{
  return aLeft.address == aRight.address &&
         aLeft.poolerPort == aRight.poolerPort;
}

} // namespace

pooler_links::pooler_links(boost::asio::io_context& aContext,
                           zmq::context_t& aZmq,
                           link_events& aEvents)
  : mContext(aContext)
  , mZmq(aZmq)
  , mEvents(aEvents)
  , mTimer(aContext)
{
}

pooler_links::~pooler_links()
{
  *mAlive = false;
}

void
pooler_links::SetVms(std::vector<store::vm> aVms)
{
  absl::flat_hash_map<std::string, std::unique_ptr<link>> links;
  for (auto& vm : aVms) {
    auto& entry = links[vm.id];
    const auto known = mLinks.find(vm.id);
    if (known != mLinks.end() && HasSameEndpoint(known->second->vm, vm)) {
      entry = std::move(known->second);
      mLinks.erase(known);
    } else {
      entry = std::make_unique<link>();
      entry->vm = std::move(vm);
    }
  }
  std::swap(mLinks, links);
  for (auto& [name, closed] : links) {
    if (closed != nullptr && closed->socket != nullptr) {
      closed->socket->Close();
      for (const queued_request& remaining : closed->queue) {
        Fail(remaining.message.request.id);
      }
    }
  }
}

void
pooler_links::Send(send_to_pooler aMessage)
{
  wire::group_request message{ std::move(aMessage.group),
                               std::move(aMessage.request),
                               std::move(aMessage.incarnation) };
  link* to = Find(aMessage.vm);
  if (to == nullptr) {
    Fail(message.request.id);
    return;
  }
  if (to->up) {
    Transmit(*to, message);
    return;
  }
  if (to->socket == nullptr) {
    Open(*to);
  }
  const auto expiresAt = std::chrono::steady_clock::now() + kConnectTimeout;
  to->queue.push_back({ std::move(message), expiresAt });
  ScheduleExpiry();
}

void
pooler_links::Cancel(const std::string& aVm, group::request_id aRequest)
{
  link* to = Find(aVm);
  if (to == nullptr || to->socket == nullptr) {
    return;
  }
  std::erase_if(to->queue, [aRequest](const queued_request& aQueued) {
    return aQueued.message.request.id == aRequest;
  });
  if (to->up) {
    const auto now = std::chrono::steady_clock::now();
    // A pooler that doesn't receive the cancellation stops at the deadline.
    (void)to->socket->Send(wire::Encode(wire::cancel_request{ aRequest }, now));
  }
}

pooler_links::link*
pooler_links::Find(const std::string& aVm)
{
  const auto found = mLinks.find(aVm);
  return found == mLinks.end() ? nullptr : found->second.get();
}

void
pooler_links::Open(link& aLink)
{
  aLink.socket =
    std::make_unique<net::dealer>(mContext, mZmq, net::socket_settings{});
  aLink.socket->OnConnectionChange(
    [this, alive = mAlive, vm = aLink.vm.id](bool aUp) {
      if (*alive) {
        OnLinkChanged(vm, aUp);
      }
    });
  const auto error = aLink.socket->Connect(
    aLink.vm.address, aLink.vm.poolerPort, [this](std::string_view aBytes) {
      OnReceived(aBytes);
    });
  if (error) {
    log::Write(log::level::kWarning,
               "pooler_connect_failed",
               { { "pooler", aLink.vm.id }, { "reason", error.message() } });
  }
}

void
pooler_links::OnLinkChanged(const std::string& aVm, bool aUp)
{
  link* found = Find(aVm);
  if (found == nullptr) {
    return;
  }
  const bool wasUp = std::exchange(found->up, aUp);
  if (wasUp != aUp) {
    log::Write(log::level::kInfo,
               aUp ? "pooler_link_up" : "pooler_link_down",
               { { "pooler", aVm } });
  }
  if (aUp) {
    for (const queued_request& next : std::exchange(found->queue, {})) {
      Transmit(*found, next.message);
    }
  } else if (wasUp) {
    mEvents.PoolerLost(aVm);
  }
}

void
pooler_links::OnReceived(std::string_view aBytes)
{
  auto read = wire::Decode(aBytes, std::chrono::steady_clock::now());
  auto* answer = std::get_if<wire::group_answer>(&read.body);
  if (read.error || answer == nullptr) {
    log::Write(log::level::kWarning,
               "pooler_message_dropped",
               { { "reason", read.error.message() } });
    return;
  }
  mEvents.PoolerAnswered(std::move(*answer));
}

void
pooler_links::Transmit(link& aLink, const wire::group_request& aMessage)
{
  const auto now = std::chrono::steady_clock::now();
  if (const auto error = aLink.socket->Send(wire::Encode(aMessage, now))) {
    log::Write(log::level::kDebug,
               "pooler_send_failed",
               { { "pooler", aLink.vm.id }, { "reason", error.message() } });
    Fail(aMessage.request.id);
  }
}

void
pooler_links::Fail(group::request_id aRequest)
{
  boost::asio::post(mContext, [this, alive = mAlive, aRequest] {
    if (*alive) {
      mEvents.NotSent(aRequest);
    }
  });
}

void
pooler_links::ScheduleExpiry()
{
  if (std::exchange(mTimerSet, true)) {
    return;
  }
  mTimer.expires_after(kExpiryInterval);
  mTimer.async_wait(
    [this, alive = mAlive](const boost::system::error_code& aError) {
      if (!aError && *alive) {
        FailExpired();
      }
    });
}

void
pooler_links::FailExpired()
{
  mTimerSet = false;
  const auto now = std::chrono::steady_clock::now();
  bool remaining = false;
  for (auto& [name, known] : mLinks) {
    std::erase_if(known->queue, [this, now](const queued_request& aQueued) {
      const bool late = aQueued.expiresAt <= now;
      if (late) {
        Fail(aQueued.message.request.id);
      }
      return late;
    });
    remaining = remaining || !known->queue.empty();
  }
  if (remaining) {
    ScheduleExpiry();
  }
}

} // namespace currantshed::gateway
