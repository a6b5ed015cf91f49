#ifndef CURRANTSHED_NODE_SERVER_CONNECTOR_HPP
#define CURRANTSHED_NODE_SERVER_CONNECTOR_HPP

#include <memory>

#include <boost/asio/io_context.hpp>

#include "currantshed/node/line_codec.hpp"
#include "currantshed/proxy/upstream_link.hpp"

namespace currantshed::node {

/// Connects to servers, directly or through other VMs, by the line protocol.
class server_connector final : public proxy::link_opener
{
public:
  server_connector(boost::asio::io_context& aContext, const line_codec& aCodec);

  [[nodiscard]] std::unique_ptr<proxy::upstream_link> Open(
    const proxy::server& aServer,
    const proxy::path& aVia,
    const std::string& aCustomer,
    proxy::link_listener& aListener) override;

private:
  boost::asio::io_context& mContext;
  const line_codec& mCodec;
};

} // namespace currantshed::node

#endif
