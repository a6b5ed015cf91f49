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

/// Messages to and from other poolers: a router at the peer port, and a
/// dealer to each peer that was written to lately. The dealers are bounded;
/// the one used longest ago makes room.
class peer_links
{
public:
  /// Answers the sender of a message.
  using responder = std::function<void(const wire::message&)>;
  /// A message that came, its length, and the way to answer it.
  using receiver =
    std::function<void(wire::message, std::size_t, const responder&)>;

  peer_links(boost::asio::io_context& aContext,
             zmq::context_t& aZmq,
             receiver aReceiver);

  [[nodiscard]] std::error_code Bind(const std::string& aAddress,
                                     std::uint16_t aPort);

  /// Sends without waiting; false when the message could not be taken.
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
