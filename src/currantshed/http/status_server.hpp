#ifndef CURRANTSHED_HTTP_STATUS_SERVER_HPP
#define CURRANTSHED_HTTP_STATUS_SERVER_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <system_error>

#include <boost/asio/io_context.hpp>
#include <prometheus/registry.h>

#include "currantshed/http/fwd.hpp"
#include "currantshed/http/status_response.hpp"

namespace currantshed::http {

/// HTTP server of a daemon's status port: /metrics, /livez, /readyz and
/// /status. Runs on the given io_context and must be used on its thread. Serves
/// a bounded number of connections at the same time; further connections wait
/// in the listen queue.
class status_server
{
public:
  status_server(boost::asio::io_context& aContext,
                const std::string& aAddress,
                std::uint16_t aPort,
                std::shared_ptr<prometheus::Registry> aMetrics,
                status_source& aSource);
  ~status_server();

  status_server(const status_server&) = delete;
  status_server& operator=(const status_server&) = delete;

  /// Starts listening. If the address cannot be bound, the error of the
  /// operating system is logged and returned.
  std::error_code Start();

  /// Stops listening and closes every connection.
  void Stop();

private:
  class implementation;
  std::shared_ptr<implementation> mImplementation;
};

} // namespace currantshed::http

#endif
