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
// Messages to a peer whose connection is being opened, which takes a round trip
// if the peer is up. Without them the first poll of a VM that starts and its
// answer were lost, and each was repeated 400 ms later.
constexpr std::size_t kMaxUnsent = 4;
constexpr std::chrono::milliseconds kUnsentLifetime{ 300 };
constexpr std::chrono::milliseconds kInitialResendDelay{ 2 };
constexpr std::chrono::milliseconds kMaxResendDelay{ 32 };
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
  , mResendTimer(aContext)
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
    kept[one.vm] = connection{ one, nullptr };
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
  if (dealer == nullptr) {
    return;
  }
  auto& to = found->second;
  auto bytes = aMessage.SerializeAsString();
  if (!to.unsent.empty() || dealer->Send(bytes)) {
    KeepUnsent(to, std::move(bytes), aNow);
  } else {
    to.wasOpen = true;
  }
}

// Keeps a message until the connection is open. On one that was open before, a
// peer that cannot take a message gets the next one instead.
void
exchange::KeepUnsent(connection& aConnection,
                     std::string aBytes,
                     clock::time_point aNow)
{
  if (aConnection.wasOpen) {
    return;
  }
  if (aConnection.unsent.empty()) {
    aConnection.unsentSince = aNow;
  }
  aConnection.unsent.push_back(std::move(aBytes));
  if (aConnection.unsent.size() > kMaxUnsent) {
    aConnection.unsent.pop_front();
  }
  mResendDelay = kInitialResendDelay;
  ScheduleResend();
}

void
exchange::ScheduleResend()
{
  if (std::exchange(mIsResendScheduled, true)) {
    return;
  }
  mResendTimer.expires_after(mResendDelay);
  mResendTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      mIsResendScheduled = false;
      Resend(std::chrono::steady_clock::now());
    }
  });
}

void
exchange::Resend(clock::time_point aNow)
{
  bool areLeft = false;
  for (auto& [vm, one] : mConnections) {
    if (aNow - one.unsentSince > kUnsentLifetime) {
      one.unsent.clear();
    }
    while (!one.unsent.empty() && one.dealer != nullptr &&
           !one.dealer->Send(one.unsent.front())) {
      one.unsent.pop_front();
      one.wasOpen = true;
    }
    areLeft = areLeft || !one.unsent.empty();
  }
  if (areLeft) {
    mResendDelay = std::min(2 * mResendDelay, kMaxResendDelay);
    ScheduleResend();
  }
}

// Opens the connection to a peer that has started anew. An attempt that began
// before the peer was up waits for the kernel's next try, a second later, and a
// connection to its former incarnation is dead.
void
exchange::Reconnect(const std::string& aVm)
{
  const auto found = mConnections.find(aVm);
  if (found != mConnections.end()) {
    found->second.dealer.reset();
    found->second.wasOpen = false;
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
      one.wasOpen = false;
      one.unsent.clear();
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
  mResendTimer.cancel();
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
    Reconnect(message.vm());
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
