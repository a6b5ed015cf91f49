#ifndef CURRANTSHED_POOLER_SETTINGS_HPP
#define CURRANTSHED_POOLER_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "currantshed/failover/coordinator.hpp"
#include "currantshed/pooler/fwd.hpp"
#include "currantshed/store/client.hpp"

namespace currantshed::pooler {

/// Address at which a peer receives heartbeats.
struct peer_address
{
  /// IP address.
  std::string address;
  std::uint16_t port = 0;

  [[nodiscard]] friend bool operator==(const peer_address&,
                                       const peer_address&) = default;
};

/// Settings of a pooler.
struct settings
{
  /// This VM: name, failure domain, address and ports.
  store::vm self;
  failover::incarnation_id incarnation;
  std::string platformUrl;
  /// Peers from which the configuration is requested while the platform has not
  /// provided one.
  std::vector<peer_address> bootstrapPeers;
  /// Validity of a confirmation by a majority of the servers.
  std::chrono::milliseconds validity{ 200 };
  std::chrono::milliseconds probeInterval{ 50 };
  std::chrono::milliseconds suspectAfter{ 200 };
  std::chrono::milliseconds transactionIdle{ 10000 };
  std::chrono::milliseconds listInterval{ 1000 };
  std::chrono::milliseconds platformTimeout{ 2000 };
  std::size_t answerLimitBytes = std::size_t{ 4 } * 1024 * 1024;
  std::size_t queueLimit = 512;
  /// Fraction of the connections of a server that is reserved for a takeover.
  double takeoverReserve = 0.5;
  /// Number of poolers that own each group.
  unsigned owners = 3;
};

} // namespace currantshed::pooler

#endif
