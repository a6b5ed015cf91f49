#ifndef CURRANTSHED_NEWS_EXCHANGE_HPP
#define CURRANTSHED_NEWS_EXCHANGE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include <absl/container/btree_map.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <zmq.hpp>

#include "currantshed/clock/time.hpp"
#include "currantshed/lead/clock_offset.hpp"
#include "currantshed/net/dealer.hpp"
#include "currantshed/net/router.hpp"
#include "currantshed/news/fwd.hpp"
#include "currantshed/news/news.pb.h"

namespace currantshed::news {

/// Another VM.
struct peer
{
  std::string vm;
  /// IP address.
  std::string address;
  std::uint16_t port = 0;

  [[nodiscard]] friend bool operator==(const peer&, const peer&) = default;
};

/// Exchanges announcements with the other VMs, and estimates the offsets of
/// their clocks. Belongs to the thread of the io_context. Sending never blocks:
/// a message that a peer cannot take at once is dropped, since a newer one
/// follows soon; while the connection is being opened, a few are kept for a
/// short time. A connection to a peer is open only while it is in use, so
/// that their number depends on the peers that a VM sends to and not on the
/// number of VMs.
class exchange
{
public:
  /// Converts a time of the sender's clock to one of this VM's clock that is no
  /// later than the true one.
  using clock_converter = std::function<clock::time_point(std::int64_t)>;
  /// Called with each received announcement. The converter is empty while the
  /// offset of the clocks is unknown.
  using receiver =
    std::function<void(const News&, const clock_converter&, clock::time_point)>;

  exchange(boost::asio::io_context& aContext,
           zmq::context_t& aZmq,
           peer aSelf,
           std::uint64_t aIncarnation,
           receiver aReceiver);

  [[nodiscard]] std::error_code Listen();

  /// Sets the VMs that messages can be sent to.
  void SetPeers(const std::vector<peer>& aPeers);

  /// Sends an announcement, after filling in the sender and the clock fields.
  void Send(const std::string& aVm, News aMessage, clock::time_point aNow);

  /// Whether the VM can convert the times in messages that are sent to it now.
  [[nodiscard]] bool HasClockOffset(const std::string& aVm,
                                    clock::time_point aNow) const;

  /// Closes connections that nothing was sent on for a while. To be called
  /// about once a second.
  void CloseIdle(clock::time_point aNow);

  /// Number of open connections to peers.
  [[nodiscard]] std::size_t OpenConnectionCount() const noexcept;

  void Close();

private:
  struct connection
  {
    peer to;
    /// Null while the connection is not in use.
    std::unique_ptr<net::dealer> dealer;
    clock::time_point usedAt{};
    /// Whether a message has been sent on it, so that it was open once.
    bool wasOpen = false;
    /// Messages that wait until it is open, and since when.
    std::deque<std::string> unsent{};
    clock::time_point unsentSince{};
  };

  struct sender
  {
    std::uint64_t incarnation = 0;
    lead::clock_offset offset;
    /// When the latest message was sent, on the sender's clock.
    std::int64_t sentAt = std::numeric_limits<std::int64_t>::min();
  };

  [[nodiscard]] net::dealer* DealerTo(connection& aConnection);
  void KeepUnsent(connection& aConnection,
                  std::string aBytes,
                  clock::time_point aNow);
  void ScheduleResend();
  void Resend(clock::time_point aNow);
  void Reconnect(const std::string& aVm);
  void OnMessage(std::string_view aBytes);

  boost::asio::io_context& mContext;
  zmq::context_t& mZmq;
  peer mSelf;
  std::uint64_t mIncarnation;
  receiver mReceiver;
  net::router mRouter;
  absl::btree_map<std::string, connection> mConnections;
  boost::asio::steady_timer mResendTimer;
  bool mIsResendScheduled = false;
  std::chrono::milliseconds mResendDelay{ 0 };
  absl::btree_map<std::string, sender> mSenders;
};

} // namespace currantshed::news

#endif
