#include "currantshed/news/exchange.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

namespace currantshed::news {

namespace {

// A message has a few dozen groups at most.
constexpr std::int64_t kLongestNews = std::int64_t{ 256 } * 1024;
// Messages that wait to be taken from one peer. ZeroMQ 4.3 aborts the process
// when a connection fails while its receiving side is full, so this is far
// above what a frozen VM leaves unread.
constexpr int kHighWater = 512;
// Messages that wait to be sent to one peer. Each says anew what those before
// it said, so that behind a link that is busy a few suffice; with 512 for each
// of 20 peers a VM ran out of its 160 MB.
constexpr int kSendHighWater = 16;
// How long a connection may take to stand, and how long what was sent on it may
// stay without acknowledgement before it is given up. The kernel keeps that
// time: pings of ZeroMQ's own cost a timer for each link, which it looks up by
// walking all timers.
constexpr std::chrono::milliseconds kSilence{ 2500 };
// A link that nothing was sent on for this long is closed. Far longer than the
// pause between two words of a VM, which is two seconds at most.
constexpr std::chrono::milliseconds kIdle{ 6000 };

net::socket_settings
NewsSettings()
{
  net::socket_settings settings;
  settings.maxMessageBytes = kLongestNews;
  settings.maxQueuedReceives = kHighWater;
  settings.maxQueuedSends = kSendHighWater;
  settings.pingInterval = std::chrono::milliseconds{ 0 };
  settings.pingTimeout = kSilence;
  settings.unacknowledgedTimeout = kSilence;
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
  , mRouter(aContext, aZmq, NewsSettings())
{
}

std::error_code
exchange::Listen()
{
  return mRouter.Bind(
    mSelf.address,
    mSelf.port,
    [this](std::string_view, std::string_view aBytes) { Received(aBytes); });
}

void
exchange::SetPeers(const std::vector<peer>& aPeers)
{
  absl::btree_map<std::string, link> kept;
  for (const auto& one : aPeers) {
    if (one.vm == mSelf.vm) {
      continue;
    }
    const auto found = mLinks.find(one.vm);
    if (found != mLinks.end() && found->second.to == one) {
      kept[one.vm] = std::move(found->second);
      continue;
    }
    kept[one.vm] = { one, nullptr };
  }
  mLinks = std::move(kept);
}

void
exchange::Send(const std::string& aVm, News aNews, clock::time_point aNow)
{
  const auto found = mLinks.find(aVm);
  if (found == mLinks.end()) {
    return;
  }
  aNews.set_vm(mSelf.vm);
  aNews.set_incarnation(mIncarnation);
  aNews.set_sent_at_us(lead::ToWire(aNow).count());
  const auto known = mSenders.find(aVm);
  if (known != mSenders.end()) {
    if (const auto bound = known->second.offset.LowerBound(aNow)) {
      aNews.set_to_your_clock_us(bound->count());
      aNews.set_your_incarnation(known->second.incarnation);
    }
  }
  auto* dealer = DealerTo(found->second);
  found->second.usedAt = aNow;
  if (dealer != nullptr) {
    // A peer that takes nothing now gets the next news.
    (void)dealer->Send(aNews.SerializeAsString());
  }
}

bool
exchange::HasClockOffset(const std::string& aVm, clock::time_point aNow) const
{
  const auto known = mSenders.find(aVm);
  return known != mSenders.end() &&
         known->second.offset.LowerBound(aNow).has_value();
}

// Most VMs have news for few others; a connection to each would cost memory.
net::dealer*
exchange::DealerTo(link& aLink)
{
  if (aLink.dealer == nullptr) {
    auto made = std::make_unique<net::dealer>(mContext, mZmq, NewsSettings());
    const auto error =
      made->Connect(aLink.to.address, aLink.to.port, [](std::string_view) {});
    if (!error) {
      aLink.dealer = std::move(made);
    }
  }
  return aLink.dealer.get();
}

void
exchange::CloseIdle(clock::time_point aNow)
{
  for (auto& [name, one] : mLinks) {
    if (one.dealer != nullptr && aNow - one.usedAt >= kIdle) {
      one.dealer.reset();
    }
  }
}

std::size_t
exchange::OpenConnectionCount() const noexcept
{
  return static_cast<std::size_t>(
    std::count_if(mLinks.begin(), mLinks.end(), [](const auto& aEntry) {
      return aEntry.second.dealer != nullptr;
    }));
}

void
exchange::Close()
{
  mRouter.Close();
  mLinks.clear();
}

void
exchange::Received(std::string_view aBytes)
{
  const auto now = std::chrono::steady_clock::now();
  News told;
  if (!told.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size())) ||
      told.vm().empty()) {
    return;
  }
  auto& from = mSenders[told.vm()];
  if (from.incarnation != told.incarnation()) {
    from = {};
    from.incarnation = told.incarnation();
  }
  // Links are closed and opened again: what an earlier one brings late must not
  // undo what a later one has brought.
  if (told.sent_at_us() < from.sentAt) {
    return;
  }
  from.sentAt = told.sent_at_us();
  from.offset.AddSample(std::chrono::microseconds{ told.sent_at_us() }, now);
  clock_converter reader;
  if (told.has_to_your_clock_us() && told.your_incarnation() == mIncarnation) {
    reader = [offset = told.to_your_clock_us()](std::int64_t aTime) {
      return lead::FromWire(std::chrono::microseconds{ aTime + offset });
    };
  }
  mReceiver(told, reader, now);
}

} // namespace currantshed::news
