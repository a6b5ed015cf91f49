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

/// How fresh the reads of a class of work must be.
enum class read_policy
{
  /// Sees every acknowledged commit.
  kPrimary,
  /// May miss what was acknowledged within the last maxStaleness.
  kBoundedStaleness,
  /// Besides, sees every commit of the own session.
  kReadYourWrites,
};

/// What the operators declare for one database.
struct route
{
  std::string name;
  std::string database;
  /// The group of servers that holds the database.
  std::string service;
  read_policy policy = read_policy::kPrimary;
  /// Longest time for one statement.
  std::chrono::milliseconds statementTimeout{ 1000 };
  /// What a whole operation should take.
  std::chrono::milliseconds target{ 200 };
  /// Zero goes first.
  unsigned priority = 0;
  std::chrono::milliseconds maxStaleness{ 0 };
  /// Whether anyone may use it, with a customer's key or without.
  bool isPublic = false;
};

/// What the operators declare for one group of servers.
struct service
{
  std::string name;
  /// Connections that one server accepts from all VMs together.
  unsigned maxConnections = 1;
};

/// One version of the operators' configuration.
struct configuration
{
  std::uint64_t version = 0;
  /// By database.
  absl::flat_hash_map<std::string, std::shared_ptr<const route>> routes;
  /// By name.
  absl::flat_hash_map<std::string, service> services;
  /// Who may ask; null where nobody is told apart.
  std::shared_ptr<const customer::directory> customers;
  /// Why customers were left out that can't be read.
  std::vector<std::string> unreadableCustomers;
  /// A transaction idle for longer may be ended.
  std::chrono::milliseconds transactionIdle{ 3000 };
};

/// The time of day at which a server says that it started; zero where it says
/// nothing of it.
using start_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// One life of a server. A server may start again under its id, and then holds
/// and knows nothing of before: what is believed of one incarnation says
/// nothing of another. Clocks step, so that two of them have no order but that
/// in which the platform's store shows them.
struct incarnation
{
  upstream::server_id id;
  start_time startedAt{};

  [[nodiscard]] friend bool operator==(const incarnation&,
                                       const incarnation&) = default;
};

/// One server as the platform lists it.
struct server
{
  upstream::server_id id;
  start_time startedAt{};
  std::string service;
  /// IP number.
  std::string address;
  std::uint16_t port = 0;
  std::string failureDomain;
  /// Leaves soon: gets no new work where another one can take it.
  bool draining = false;
  /// Since when it may have said so, at the earliest; none where only the time
  /// at which that was learned is known.
  std::optional<clock::time_point> drainingSince;

  [[nodiscard]] incarnation Incarnation() const { return { id, startedAt }; }

  [[nodiscard]] friend bool operator==(const server&, const server&) = default;
};

} // namespace currantshed::proxy

#endif
