#ifndef CURRANTSHED_NEWS_EXCHANGE_HPP
#define CURRANTSHED_NEWS_EXCHANGE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include <absl/container/btree_map.h>
#include <boost/asio/io_context.hpp>
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
  /// IP number.
  std::string address;
  std::uint16_t port = 0;

  [[nodiscard]] friend bool operator==(const peer&, const peer&) = default;
};

/// News to and from the other VMs, and what is known of their clocks. Belongs
/// to the thread of the io_context. Nothing waits: what a peer does not take
/// at once is dropped, since newer news follow soon. A link to a peer is open
/// only while there is news for it, so that a VM has as many as it speaks to,
/// not as many as there are VMs.
class exchange
{
public:
  /// Turns a time of the sender's clock into one of this VM's, no later than
  /// the true one.
  using clock_converter = std::function<clock::time_point(std::int64_t)>;
  /// News that came. The reader is empty while the clocks can't be compared.
  using receiver =
    std::function<void(const News&, const clock_converter&, clock::time_point)>;

  exchange(boost::asio::io_context& aContext,
           zmq::context_t& aZmq,
           peer aSelf,
           std::uint64_t aIncarnation,
           receiver aReceiver);

  [[nodiscard]] std::error_code Listen();

  /// The VMs that may be sent to.
  void SetPeers(const std::vector<peer>& aPeers);

  /// Sends the news, with sender and clocks filled in.
  void Send(const std::string& aVm, News aNews, clock::time_point aNow);

  /// Whether the VM can read the times of what is sent to it now.
  [[nodiscard]] bool HasClockOffset(const std::string& aVm,
                                    clock::time_point aNow) const;

  /// Closes the links that nothing was sent on for a while. To be called about
  /// once a second.
  void CloseIdle(clock::time_point aNow);

  /// How many links to peers are open.
  [[nodiscard]] std::size_t OpenConnectionCount() const noexcept;

  void Close();

private:
  struct link
  {
    peer to;
    /// Null while there is nothing to send.
    std::unique_ptr<net::dealer> dealer;
    clock::time_point usedAt{};
  };

  struct sender
  {
    std::uint64_t incarnation = 0;
    lead::clock_offset offset;
    /// When the newest message was sent, by the sender's clock.
    std::int64_t sentAt = std::numeric_limits<std::int64_t>::min();
  };

  [[nodiscard]] net::dealer* DealerTo(link& aLink);
  void Received(std::string_view aBytes);

  boost::asio::io_context& mContext;
  zmq::context_t& mZmq;
  peer mSelf;
  std::uint64_t mIncarnation;
  receiver mReceiver;
  net::router mRouter;
  absl::btree_map<std::string, link> mLinks;
  absl::btree_map<std::string, sender> mSenders;
};

} // namespace currantshed::news

#endif
