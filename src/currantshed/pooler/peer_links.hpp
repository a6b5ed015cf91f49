#ifndef CURRANTSHED_POOLER_PEER_LINKS_HPP
#define CURRANTSHED_POOLER_PEER_LINKS_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/io_context.hpp>
#include <zmq.hpp>

#include "currantshed/net/dealer.hpp"
#include "currantshed/net/router.hpp"
#include "currantshed/pooler/fwd.hpp"
#include "currantshed/pooler/settings.hpp"
#include "currantshed/wire/codec.hpp"

namespace currantshed::pooler {

/// Exchanges messages with other poolers through a ROUTER socket at the peer
/// port and a DEALER socket for each peer written to recently. The number of
/// DEALER sockets is bounded; the least recently used one is evicted.
class peer_links
{
public:
  /// Replies to the sender of a message.
  using responder = std::function<void(const wire::message&)>;
  /// Receives a message, its size in bytes, and a function to reply.
  using receiver =
    std::function<void(wire::message, std::size_t, const responder&)>;

  peer_links(boost::asio::io_context& aContext,
             zmq::context_t& aZmq,
             receiver aReceiver);

  [[nodiscard]] std::error_code Bind(const std::string& aAddress,
                                     std::uint16_t aPort);

  /// Sends without blocking; returns false if the message could not be queued.
  bool Send(const peer_address& aTo, std::string_view aBytes);

  void Close();

private:
  struct link
  {
    std::unique_ptr<net::dealer> dealer;
    std::uint64_t lastUse = 0;
  };

  net::dealer* DealerTo(const peer_address& aTo);
  void EvictLeastRecentlyUsed();
  void FromRouter(const std::string& aPeer, std::string_view aBytes);
  void FromDealer(std::string_view aBytes);

  boost::asio::io_context& mContext;
  zmq::context_t& mZmq;
  receiver mReceiver;
  net::router mRouter;
  absl::flat_hash_map<std::string, link> mLinks;
  std::uint64_t mUses = 0;
};

} // namespace currantshed::pooler

#endif
