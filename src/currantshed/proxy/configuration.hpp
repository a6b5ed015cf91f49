#ifndef CURRANTSHED_PROXY_CONFIGURATION_HPP
#define CURRANTSHED_PROXY_CONFIGURATION_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/customer/directory.hpp"
#include "currantshed/proxy/fwd.hpp"
#include "currantshed/upstream/fwd.hpp"

namespace currantshed::proxy {

/// Consistency guarantee for the reads of a class of work.
enum class read_policy
{
  /// Linearizable: sees every acknowledged commit.
  kPrimary,
  /// May miss commits acknowledged within the last maxStaleness.
  kBoundedStaleness,
  /// Bounded staleness that also sees every earlier commit of the same session.
  kReadYourWrites,
};

/// Route for one database, as declared by the operators.
struct route
{
  std::string name;
  std::string database;
  /// Name of the group of servers that holds the database.
  std::string service;
  read_policy policy = read_policy::kPrimary;
  /// Time limit for one statement.
  std::chrono::milliseconds statementTimeout{ 1000 };
  /// Latency target for a whole operation.
  std::chrono::milliseconds target{ 200 };
  /// Zero is the highest priority.
  unsigned priority = 0;
  std::chrono::milliseconds maxStaleness{ 0 };
  /// Whether clients without a customer's key may use the database.
  bool isPublic = false;
};

/// Group of servers, as declared by the operators.
struct service
{
  std::string name;
  /// Connection limit of one server, shared by all VMs.
  unsigned maxConnections = 1;
};

/// One version of the operators' configuration.
struct configuration
{
  std::uint64_t version = 0;
  /// Keyed by database.
  absl::flat_hash_map<std::string, std::shared_ptr<const route>> routes;
  /// Keyed by name.
  absl::flat_hash_map<std::string, service> services;
  /// Customers and their keys; null when clients need no key.
  std::shared_ptr<const customer::directory> customers;
  /// Errors for customers that were skipped because their entry is invalid.
  std::vector<std::string> unreadableCustomers;
  /// Idle timeout of an open transaction, after which it may be rolled back.
  std::chrono::milliseconds transactionIdle{ 3000 };
};

/// Start time reported by a server, in its own wall clock; zero when it reports
/// none.
using start_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// One run of a server process. A server may restart under the same id and then
/// has none of its former state, so knowledge about one incarnation does not
/// apply to another. Wall clocks may step; incarnations are therefore ordered
/// only by the order in which the platform's store lists them.
struct incarnation
{
  upstream::server_id id;
  start_time startedAt{};

  [[nodiscard]] friend bool operator==(const incarnation&,
                                       const incarnation&) = default;
};

/// One server as listed by the platform.
struct server
{
  upstream::server_id id;
  start_time startedAt{};
  std::string service;
  /// IP address.
  std::string address;
  std::uint16_t port = 0;
  std::string failureDomain;
  /// Statements that it runs at the same time, as reported by itself; zero when
  /// it reports none.
  unsigned slots = 0;
  /// The server will stop soon: it gets no new work that another server can
  /// take.
  bool draining = false;
  /// Earliest time at which it may have announced that it drains; empty when
  /// only the time at which this VM learned of it is known.
  std::optional<clock::time_point> drainingSince;

  [[nodiscard]] incarnation Incarnation() const { return { id, startedAt }; }

  [[nodiscard]] friend bool operator==(const server&, const server&) = default;
};

} // namespace currantshed::proxy

#endif
