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
/// timeout bounds each call; a watch may additionally last for its own wait
/// time. No callback runs after the client is destroyed.
[[nodiscard]] std::unique_ptr<client>
MakeClient(std::unique_ptr<transport> aTransport,
           std::chrono::milliseconds aTimeout);

/// Makes a client over libcurl on the given event loop, whose thread runs the
/// callbacks. The base URL consists of scheme, address and port.
[[nodiscard]] std::unique_ptr<client>
MakeHttpClient(boost::asio::io_context& aLoop,
               std::string aBaseUrl,
               std::chrono::milliseconds aTimeout);

} // namespace currantshed::store

#endif
