#ifndef CURRANTSHED_GATEWAY_SETTINGS_HPP
#define CURRANTSHED_GATEWAY_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "currantshed/gateway/engine.hpp"
#include "currantshed/session/key_ring.hpp"

namespace currantshed::gateway {

/// Bounds and times of the HTTP side. A connection that passes one of the
/// times is closed.
struct caller_limits
{
  std::size_t bodyBytes = std::size_t{ 1024 } * 1024;
  std::uint32_t headerBytes = 16 * 1024;
  /// Connections of one thread.
  std::size_t connections = 5000;
  /// From a request's first byte to its last one.
  std::chrono::milliseconds requestTimeout{ 10000 };
  /// From an answer's first byte to its last one.
  std::chrono::milliseconds writeTimeout{ 15000 };
  /// Between two requests.
  std::chrono::milliseconds idleTimeout{ 300000 };
  /// For a caller to hang up after a last answer.
  std::chrono::milliseconds lingerTimeout{ 2000 };
};

/// All settings of one gateway.
struct gateway_settings
{
  std::string vm;
  std::string failureDomain;
  /// IP number to listen at.
  std::string address;
  std::uint16_t callerPort = 0;
  std::uint16_t statusPort = 0;
  /// Request port of this VM's own pooler.
  std::string poolerAddress;
  std::uint16_t poolerPort = 0;
  /// Threads for traffic.
  unsigned threads = 2;
  std::chrono::milliseconds drainTimeout{ 10000 };
  session::key_ring keys;
  engine_settings engine;
  caller_limits callers;
};

} // namespace currantshed::gateway

#endif
