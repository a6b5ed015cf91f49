#include "currantshed/pooler/peer_links.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

namespace currantshed::pooler {

namespace {

/// Maximum number of peers with a DEALER socket.
constexpr std::size_t kMaxConnections = 64;
/// Maximum size of a message between poolers; configurations are the largest.
constexpr std::int64_t kMaxMessageBytes = std::int64_t{ 2 } * 1024 * 1024;
/// Maximum number of messages queued for one peer: a few heartbeats.
constexpr int kSendHighWaterMark = 8;
/// Maximum number of messages queued from one peer. ZeroMQ 4.3 aborts the
/// process when a connection fails while its receive queue is full; a limit of
/// eight heartbeats was reached by a process that got no CPU time for a second.
constexpr int kReceiveHighWaterMark = 512;

net::socket_settings
PeerSettings()
{
  net::socket_settings settings;
  settings.maxMessageBytes = kMaxMessageBytes;
  settings.maxQueuedReceives = kReceiveHighWaterMark;
  settings.maxQueuedSends = kSendHighWaterMark;
  // In a large fleet most heartbeats go to a peer without a recent connection,
  // and are the first message on a new one.
  settings.requireConnection = false;
  return settings;
}

std::string
NameOf(const peer_address& aPeer)
{
  return aPeer.address + ":" + std::to_string(aPeer.port);
}

} // namespace

peer_links::peer_links(boost::asio::io_context& aContext,
                       zmq::context_t& aZmq,
                       receiver aReceiver)
  : mContext(aContext)
  , mZmq(aZmq)
  , mReceiver(std::move(aReceiver))
  , mRouter(aContext, aZmq, PeerSettings())
{
}

std::error_code
peer_links::Bind(const std::string& aAddress, std::uint16_t aPort)
{
  return mRouter.Bind(
    aAddress, aPort, [this](std::string_view aPeer, std::string_view aBytes) {
      FromRouter(std::string(aPeer), aBytes);
    });
}

bool
peer_links::Send(const peer_address& aTo, std::string_view aBytes)
{
  net::dealer* dealer = DealerTo(aTo);
  return dealer != nullptr && !dealer->Send(aBytes);
}

void
peer_links::Close()
{
  mRouter.Close();
  mLinks.clear();
}

net::dealer*
peer_links::DealerTo(const peer_address& aTo)
{
  const std::string name = NameOf(aTo);
  ++mUses;
  const auto found = mLinks.find(name);
  if (found != mLinks.end()) {
    found->second.lastUse = mUses;
    return found->second.dealer.get();
  }
  EvictLeastRecentlyUsed();
  auto dealer = std::make_unique<net::dealer>(mContext, mZmq, PeerSettings());
  const auto error =
    dealer->Connect(aTo.address, aTo.port, [this](std::string_view aBytes) {
      FromDealer(aBytes);
    });
  if (error) {
    return nullptr;
  }
  link& made = mLinks[name];
  made = { std::move(dealer), mUses };
  return made.dealer.get();
}

void
peer_links::EvictLeastRecentlyUsed()
{
  if (mLinks.size() < kMaxConnections) {
    return;
  }
  const auto oldest = std::min_element(
    mLinks.begin(), mLinks.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.lastUse < aRight.second.lastUse;
    });
  // The socket may be delivering a message at this moment.
  boost::asio::post(mContext,
                    [gone = std::shared_ptr<net::dealer>(std::move(
                       oldest->second.dealer))]() mutable { gone.reset(); });
  mLinks.erase(oldest);
}

void
peer_links::FromRouter(const std::string& aPeer, std::string_view aBytes)
{
  auto decoded = wire::Decode(aBytes, std::chrono::steady_clock::now());
  if (decoded.error) {
    return;
  }
  const auto respond = [this, aPeer](const wire::message& aAnswer) {
    (void)mRouter.Send(aPeer,
                       wire::Encode(aAnswer, std::chrono::steady_clock::now()));
  };
  mReceiver(std::move(decoded.body), aBytes.size(), respond);
}

void
peer_links::FromDealer(std::string_view aBytes)
{
  auto decoded = wire::Decode(aBytes, std::chrono::steady_clock::now());
  if (!decoded.error) {
    mReceiver(
      std::move(decoded.body), aBytes.size(), [](const wire::message&) {});
  }
}

} // namespace currantshed::pooler
