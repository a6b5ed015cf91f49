#ifndef CURRANTSHED_PROXY_CONNECTION_SHARES_HPP
#define CURRANTSHED_PROXY_CONNECTION_SHARES_HPP

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <absl/container/btree_map.h>
#include <absl/types/span.h>

#include "currantshed/clock/time.hpp"

namespace currantshed::proxy {

/// A direct connection to the server, as connection_shares sees it.
struct customer_connection
{
  std::string_view customer;
  /// False while it is being opened.
  bool isOpen = true;
  bool isIdle = false;
  /// Gets no new work and is closed once it is idle.
  bool isRetiring = false;
  /// When it was last returned to the pool.
  clock::time_point idleSince;
};

/// How far the server is taken up by this VM.
struct server_occupancy
{
  /// Connections that this VM may keep.
  std::size_t limit = 0;
  /// Whether it has fewer.
  bool hasRoom = true;
  /// Statements that the server runs at the same time; zero when unknown.
  unsigned slots = 0;
  /// Statements of this VM that the server has not answered.
  unsigned running = 0;
};

/// What to do for a request that found no idle connection of its customer.
struct opening_decision
{
  /// Whether a connection is opened now. Otherwise the request waits for a
  /// connection that is busy or being opened.
  bool opens = false;
  /// Index of the idle connection that is closed to make room.
  std::optional<std::size_t> closes;
};

/// Decides which customers' connections a VM keeps to one server when customers
/// outnumber connections, and when another is opened. Each customer has a share
/// of the limit; a connection above its customer's share is closed before one
/// that another customer needs. Without shares, a customer at seven times its
/// usual rate closes the connections of all others, which then need an opening
/// for each request. Performs no I/O and reads no clock.
class connection_shares
{
public:
  /// Records that a request of the customer starts on a connection that was
  /// idle for this long; zero when the request had waited for it. The rate is
  /// the customer's quota, in operations per second.
  void Started(const std::string& aCustomer,
               std::optional<double> aQuotaRate,
               clock::duration aIdleFor,
               clock::time_point aNow);

  /// Records for how long a request or transaction held a connection.
  void Returned(clock::duration aHeldFor);

  /// Records how long the opening of a connection took.
  void Opened(const std::string& aCustomer,
              clock::duration aOpeningTime,
              clock::time_point aNow);

  /// Decides for a customer that has no idle connection.
  [[nodiscard]] opening_decision Decide(
    const std::string& aCustomer,
    absl::Span<const customer_connection> aConnections,
    const server_occupancy& aServer,
    clock::time_point aNow) const;

  /// Whether the requests that wait for the customer's connections have kept
  /// them long enough: what waits is served in its own order for once, so that
  /// a customer without a connection gets one when all are busy.
  [[nodiscard]] bool IsTurnOver(std::string_view aCustomer) const;

  /// Recent requests of the customer per second.
  [[nodiscard]] double RateOf(std::string_view aCustomer,
                              clock::time_point aNow) const;

  /// Number of customers about which something is known.
  [[nodiscard]] std::size_t Size() const noexcept { return mCustomers.size(); }

private:
  struct usage
  {
    double rate = 0;
    clock::time_point usedAt;
    std::optional<double> quotaRate;
    // Consecutive requests that took a connection at the moment when it was
    // returned.
    unsigned backToBack = 0;
  };
  struct holdings;

  [[nodiscard]] static holdings HoldingsOf(
    std::string_view aCustomer,
    absl::Span<const customer_connection> aConnections);
  [[nodiscard]] bool AreSlotsScarce(const server_occupancy& aServer,
                                    clock::time_point aNow) const;
  [[nodiscard]] bool NeedsAnother(const std::string& aCustomer,
                                  const holdings& aOwn) const;
  [[nodiscard]] std::optional<std::size_t> Closes(
    const std::string& aCustomer,
    const holdings& aOwn,
    absl::Span<const customer_connection> aConnections,
    std::size_t aLimit,
    clock::time_point aNow) const;
  [[nodiscard]] double MeanQuotaRate() const;
  [[nodiscard]] double WeightOf(std::string_view aCustomer,
                                double aDefault) const;
  [[nodiscard]] double TotalWeight(
    const std::string& aCustomer,
    absl::Span<const customer_connection> aConnections,
    double aDefault) const;
  void Forget(clock::time_point aNow);

  absl::btree_map<std::string, usage, std::less<>> mCustomers;
  clock::duration mMeanHeld = std::chrono::milliseconds{ 20 };
  clock::duration mMeanOpening = std::chrono::milliseconds{ 12 };
  clock::duration mShortestOpening = clock::duration::max();
  clock::time_point mOpenedAt;
  clock::time_point mForgottenAt;
};

} // namespace currantshed::proxy

#endif
