#ifndef CURRANTSHED_UPSTREAM_ENDPOINT_HPP
#define CURRANTSHED_UPSTREAM_ENDPOINT_HPP

#include <chrono>
#include <cstdint>
#include <string>

#include "currantshed/upstream/fwd.hpp"

namespace currantshed::upstream {

/// Where and how to open a connection to a database server.
struct endpoint
{
  /// IP number; names are never looked up.
  std::string address;
  std::uint16_t port = 0;
  /// Told to the server as the name of the application.
  std::string vm;
  /// Asks the server to refuse every change on this connection.
  bool readOnly = false;
  std::chrono::milliseconds connectTimeout{ 1000 };
};

} // namespace currantshed::upstream

#endif
