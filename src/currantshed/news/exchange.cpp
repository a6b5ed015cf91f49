#include "currantshed/news/exchange.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

namespace currantshed::news {

namespace {

// A message covers a few dozen groups at most.
constexpr std::int64_t kMaxMessageBytes = std::int64_t{ 256 } * 1024;
// Limit of unread messages from one peer. ZeroMQ 4.3 aborts the process if a
// connection fails while its receive queue is full, so the limit is far above
// what a frozen VM leaves unread.
constexpr int kReceiveHighWaterMark = 512;
// Limit of unsent messages to one peer. Each message repeats the content of
// those before it, so a few suffice on a congested connection. With 512 for
// each of 20 peers a VM exceeded its 160 MB of memory.
constexpr int kSendHighWaterMark = 16;
// Timeout for establishing a connection, and for the acknowledgement of sent
// data. The kernel enforces it: heartbeats of ZeroMQ need a timer per
// connection, and it finds a timer by a linear search through all of them.
constexpr std::chrono::milliseconds kUnresponsiveTimeout{ 2500 };
// A connection on which nothing was sent for this long is closed. Far longer
// than the interval between two updates of a VM, which is 2 s at most.
constexpr std::chrono::milliseconds kIdleTimeout{ 6000 };

net::socket_settings
SocketSettings()
{
  net::socket_settings settings;
  settings.maxMessageBytes = kMaxMessageBytes;
  settings.maxQueuedReceives = kReceiveHighWaterMark;
  settings.maxQueuedSends = kSendHighWaterMark;
  settings.pingInterval = std::chrono::milliseconds{ 0 };
  settings.pingTimeout = kUnresponsiveTimeout;
  settings.unacknowledgedTimeout = kUnresponsiveTimeout;
  return settings;
}

} // namespace

exchange::exchange(boost::asio::io_context& aContext,
                   zmq::context_t& aZmq,
                   peer aSelf,
                   std::uint64_t aIncarnation,
                   receiver aReceiver)
  : mContext(aContext)
  , mZmq(aZmq)
  , mSelf(std::move(aSelf))
  , mIncarnation(aIncarnation)
  , mReceiver(std::move(aReceiver))
  , mRouter(aContext, aZmq, SocketSettings())
{
}

std::error_code
exchange::Listen()
{
  return mRouter.Bind(
    mSelf.address,
    mSelf.port,
    [this](std::string_view, std::string_view aBytes) { OnMessage(aBytes); });
}

void
exchange::SetPeers(const std::vector<peer>& aPeers)
{
  absl::btree_map<std::string, connection> kept;
  for (const auto& one : aPeers) {
    if (one.vm == mSelf.vm) {
      continue;
    }
    const auto found = mConnections.find(one.vm);
    if (found != mConnections.end() && found->second.to == one) {
      kept[one.vm] = std::move(found->second);
      continue;
    }
    kept[one.vm] = { one, nullptr };
  }
  mConnections = std::move(kept);
}

void
exchange::Send(const std::string& aVm, News aMessage, clock::time_point aNow)
{
  const auto found = mConnections.find(aVm);
  if (found == mConnections.end()) {
    return;
  }
  aMessage.set_vm(mSelf.vm);
  aMessage.set_incarnation(mIncarnation);
  aMessage.set_sent_at_us(lead::ToWire(aNow).count());
  const auto known = mSenders.find(aVm);
  if (known != mSenders.end()) {
    if (const auto bound = known->second.offset.LowerBound(aNow)) {
      aMessage.set_to_your_clock_us(bound->count());
      aMessage.set_your_incarnation(known->second.incarnation);
    }
  }
  auto* dealer = DealerTo(found->second);
  found->second.usedAt = aNow;
  if (dealer != nullptr) {
    // If the peer cannot take the message now, the next one replaces it.
    (void)dealer->Send(aMessage.SerializeAsString());
  }
}

bool
exchange::HasClockOffset(const std::string& aVm, clock::time_point aNow) const
{
  const auto known = mSenders.find(aVm);
  return known != mSenders.end() &&
         known->second.offset.LowerBound(aNow).has_value();
}

// Most VMs send to few others. A connection to every VM would cost memory.
net::dealer*
exchange::DealerTo(connection& aConnection)
{
  if (aConnection.dealer == nullptr) {
    auto created =
      std::make_unique<net::dealer>(mContext, mZmq, SocketSettings());
    const auto error = created->Connect(
      aConnection.to.address, aConnection.to.port, [](std::string_view) {});
    if (!error) {
      aConnection.dealer = std::move(created);
    }
  }
  return aConnection.dealer.get();
}

void
exchange::CloseIdle(clock::time_point aNow)
{
  for (auto& [name, one] : mConnections) {
    if (one.dealer != nullptr && aNow - one.usedAt >= kIdleTimeout) {
      one.dealer.reset();
    }
  }
}

std::size_t
exchange::OpenConnectionCount() const noexcept
{
  return static_cast<std::size_t>(std::count_if(
    mConnections.begin(), mConnections.end(), [](const auto& aEntry) {
      return aEntry.second.dealer != nullptr;
    }));
}

void
exchange::Close()
{
  mRouter.Close();
  mConnections.clear();
}

void
exchange::OnMessage(std::string_view aBytes)
{
  const auto now = std::chrono::steady_clock::now();
  News message;
  if (!message.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size())) ||
      message.vm().empty()) {
    return;
  }
  auto& from = mSenders[message.vm()];
  if (from.incarnation != message.incarnation()) {
    from = {};
    from.incarnation = message.incarnation();
  }
  // Connections are closed and reopened. Messages that arrive late over an
  // earlier connection must not override newer ones.
  if (message.sent_at_us() < from.sentAt) {
    return;
  }
  from.sentAt = message.sent_at_us();
  from.offset.AddSample(std::chrono::microseconds{ message.sent_at_us() }, now);
  clock_converter converter;
  if (message.has_to_your_clock_us() &&
      message.your_incarnation() == mIncarnation) {
    converter = [offset = message.to_your_clock_us()](std::int64_t aTime) {
      return lead::FromWire(std::chrono::microseconds{ aTime + offset });
    };
  }
  mReceiver(message, converter, now);
}

} // namespace currantshed::news
