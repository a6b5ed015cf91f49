#ifndef CURRANTSHED_NODE_SETTINGS_HPP
#define CURRANTSHED_NODE_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "currantshed/node/fwd.hpp"

namespace currantshed::node {

/// IP address and port.
struct address
{
  std::string host;
  std::uint16_t port = 0;

  [[nodiscard]] friend bool operator==(const address&,
                                       const address&) = default;
};

/// Settings that the platform gives to the process when it starts and whenever
/// they change.
struct node_settings
{
  std::string vm;
  std::string failureDomain;
  /// Listening address for callers.
  address callers;
  /// Listening address for the platform's readiness probe.
  address readiness;
  /// Listening address for messages of other VMs.
  address peers;
  /// Listening address for other VMs that reach servers through this one.
  address relays;
  /// Listening address for metrics.
  address metrics;
  address store;
  /// Where promotions are ordered.
  address promotion;
  /// Limit of open file descriptors.
  std::size_t descriptors = 1024;
  /// Time from the signal to stop until the process is killed.
  std::chrono::milliseconds stopTime{ 6000 };
  /// How long a server may still get work after it has announced that it is
  /// draining.
  std::chrono::milliseconds leavingTime{ 7000 };
  /// Time within which an acknowledged configuration must be in force.
  std::chrono::milliseconds configurationBound{ 3000 };
  /// How long requests with a revoked key may still run at most; zero for no
  /// bound.
  std::chrono::milliseconds keyBound{ 0 };
  /// Window in which a customer's operations are counted; zero if not
  /// configured.
  std::chrono::milliseconds quotaWindow{ 0 };
  /// Bandwidth of the VM's own link.
  double linkMegabits = 1000;
  /// CPU time available to the VM, in thousandths of a core.
  unsigned cpuMillicores = 1000;
  /// How long the store keeps changes for watches; zero if not configured.
  std::chrono::milliseconds storeHistory{ 0 };
  /// Shortest lease that the store grants.
  std::chrono::milliseconds shortestLease{ 1000 };

  [[nodiscard]] friend bool operator==(const node_settings&,
                                       const node_settings&) = default;
};

} // namespace currantshed::node

#endif
