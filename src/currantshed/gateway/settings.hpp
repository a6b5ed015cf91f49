#ifndef CURRANTSHED_GATEWAY_SETTINGS_HPP
#define CURRANTSHED_GATEWAY_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "currantshed/gateway/engine.hpp"
#include "currantshed/session/key_ring.hpp"

namespace currantshed::gateway {

/// Limits and timeouts of the HTTP server. A connection that exceeds one of the
/// timeouts is closed.
struct caller_limits
{
  std::size_t bodyBytes = std::size_t{ 1024 } * 1024;
  std::uint32_t headerBytes = 16 * 1024;
  /// Maximum number of connections per thread.
  std::size_t connections = 5000;
  /// From the first byte of a request to its last one.
  std::chrono::milliseconds requestTimeout{ 10000 };
  /// From the first byte of a response to its last one.
  std::chrono::milliseconds writeTimeout{ 15000 };
  /// Between two requests on a connection.
  std::chrono::milliseconds idleTimeout{ 300000 };
  /// For the caller to disconnect after the last response.
  std::chrono::milliseconds lingerTimeout{ 2000 };
};

/// All settings of one gateway.
struct gateway_settings
{
  std::string vm;
  std::string failureDomain;
  /// IP address to listen on.
  std::string address;
  std::uint16_t callerPort = 0;
  std::uint16_t statusPort = 0;
  /// Request port of the pooler on this VM.
  std::string poolerAddress;
  std::uint16_t poolerPort = 0;
  /// Number of worker threads.
  unsigned threads = 2;
  std::chrono::milliseconds drainTimeout{ 10000 };
  session::key_ring keys;
  engine_settings engine;
  caller_limits callers;
};

} // namespace currantshed::gateway

#endif
