#ifndef CURRANTSHED_NODE_FAILOVER_ORDERS_HPP
#define CURRANTSHED_NODE_FAILOVER_ORDERS_HPP

#include <chrono>
#include <string>

#include <absl/container/btree_set.h>

#include "currantshed/clock/time.hpp"

namespace currantshed::node {

/// A VM's right to order a promotion, as it stands when the order is about to
/// be written to the connection.
struct order_right
{
  /// When the call to the store was made whose answer showed that this VM holds
  /// the failover lock.
  clock::time_point checkedAt;
  /// Until when this VM's lease lasts at least.
  clock::time_point leaseUntil;
  /// Whether this VM knows of no other lock holder and still wants the server
  /// promoted.
  bool isWanted = false;
};

/// How long an order may be in progress if it is written now; zero if it must
/// not be written. An order is aborted before the VM's lease ends, so that none
/// is on its way when another VM acquires the lock.
[[nodiscard]] std::chrono::milliseconds
OrderTimeLeft(const order_right& aRight, clock::time_point aNow) noexcept;

/// The promotion orders that this VM has handed to the platform's client and
/// that have neither been answered nor timed out: at most one a group. A VM
/// that stops makes no more orders and keeps its failover locks until there is
/// none in progress, because another VM may order a different server as soon as
/// it acquires the lock.
class failover_orders
{
public:
  /// Whether an order for this group may be made.
  [[nodiscard]] bool MayOrder(const std::string& aService) const;

  /// Records an order, and its end.
  void Begin(const std::string& aService);
  void End(const std::string& aService);

  /// The VM stops.
  void Stop() noexcept { mIsStopping = true; }

  /// Whether the VM stops and may give up its failover locks.
  [[nodiscard]] bool MayReleaseLocks() const noexcept
  {
    return mIsStopping && mInProgress.empty();
  }

private:
  absl::btree_set<std::string> mInProgress;
  bool mIsStopping = false;
};

} // namespace currantshed::node

#endif
