#ifndef CURRANTSHED_STORE_HTTP_CLIENT_HPP
#define CURRANTSHED_STORE_HTTP_CLIENT_HPP

#include <chrono>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "currantshed/store/client.hpp"
#include "currantshed/store/transport.hpp"

namespace currantshed::store {

/// Makes a client of the platform's HTTP interface over any transport. The
/// timeout bounds each call; a watch may last for its own time beside it. A
/// client that is destroyed runs no callback any more.
[[nodiscard]] std::unique_ptr<client>
MakeClient(std::unique_ptr<transport> aTransport,
           std::chrono::milliseconds aTimeout);

/// Makes a client over libcurl on the given event loop, whose thread runs the
/// callbacks. The base is scheme, address and port.
[[nodiscard]] std::unique_ptr<client>
MakeHttpClient(boost::asio::io_context& aLoop,
               std::string aBaseUrl,
               std::chrono::milliseconds aTimeout);

} // namespace currantshed::store

#endif
