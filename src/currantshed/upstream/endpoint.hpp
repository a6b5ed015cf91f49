#ifndef CURRANTSHED_UPSTREAM_ENDPOINT_HPP
#define CURRANTSHED_UPSTREAM_ENDPOINT_HPP

#include <chrono>
#include <cstdint>
#include <string>

#include "currantshed/upstream/fwd.hpp"

namespace currantshed::upstream {

/// Address and options of a connection to a database server.
struct endpoint
{
  /// IP address; host names are not resolved.
  std::string address;
  std::uint16_t port = 0;
  /// Sent to the server as application name.
  std::string vm;
  /// Opens a connection on which the server rejects every change.
  bool readOnly = false;
  std::chrono::milliseconds connectTimeout{ 1000 };
};

} // namespace currantshed::upstream

#endif
