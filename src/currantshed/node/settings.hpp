#ifndef CURRANTSHED_NODE_SETTINGS_HPP
#define CURRANTSHED_NODE_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "currantshed/node/fwd.hpp"

namespace currantshed::node {

/// An IP number and a port.
struct address
{
  std::string host;
  std::uint16_t port = 0;

  [[nodiscard]] friend bool operator==(const address&,
                                       const address&) = default;
};

/// What the platform tells one process at its start, and whenever it changes.
struct node_settings
{
  std::string vm;
  std::string failureDomain;
  /// Where callers connect.
  address callers;
  /// Where the platform asks whether the VM takes callers.
  address readiness;
  /// Where other VMs send messages.
  address peers;
  /// Where other VMs reach servers through this one.
  address relays;
  /// Where counters are read.
  address metrics;
  address store;
  /// Where promotions are ordered.
  address promotion;
  /// Descriptors that the process may have.
  std::size_t descriptors = 1024;
  /// From the order to stop until the process is killed.
  std::chrono::milliseconds stopTime{ 6000 };
  /// How long after its word a server that leaves may get work.
  std::chrono::milliseconds leavingTime{ 7000 };
  /// How long after its acknowledgement a configuration must be in force.
  std::chrono::milliseconds configurationBound{ 3000 };
  /// How long after a key was taken away, at most, requests with it may run;
  /// zero where there is no such bound.
  std::chrono::milliseconds keyBound{ 0 };
  /// The window in which a customer's operations are counted; zero where none
  /// is told.
  std::chrono::milliseconds quotaWindow{ 0 };
  /// What the VM's own link carries in a second.
  double linkMegabits = 1000;
  /// Processor time of the VM, in thousandths of a core.
  unsigned cpuMillicores = 1000;
  /// The shortest lease that the store grants.
  std::chrono::milliseconds shortestLease{ 1000 };

  [[nodiscard]] friend bool operator==(const node_settings&,
                                       const node_settings&) = default;
};

} // namespace currantshed::node

#endif
