#ifndef CURRANTSHED_ADMIT_FAIR_SHARE_HPP
#define CURRANTSHED_ADMIT_FAIR_SHARE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include "currantshed/admit/fwd.hpp"

namespace currantshed::admit {

/// What a request was charged on arrival.
struct fair_charge
{
  std::chrono::duration<double> start{ 0 };
  std::chrono::duration<double> cost{ 0 };
};

/// Start-time fair queueing (Goyal, Vin, Cheng 1996) between the customers of
/// one class. A request's start tag is its customer's used server time, or the
/// virtual time if that is later: customers that use less than their share are
/// not given credit for it. Each operation takes O(log n) in the number of
/// customers with waiting, running or recent work; others are not stored.
class fair_share
{
public:
  fair_share();

  /// Charges the expected server time of a request that arrives now.
  [[nodiscard]] fair_charge Arrived(const std::string& aCustomer);

  /// Records that the request was sent to a server.
  void Dispatched(const fair_charge& aCharge);

  /// Replaces the expected server time by the time really used: zero for a
  /// request that was not sent.
  void Finished(const std::string& aCustomer,
                const fair_charge& aCharge,
                std::chrono::duration<double> aUsed);

  /// Round of a request. Requests of one round are ordered by deadline, so that
  /// fairness is exact to one quantum of server time.
  [[nodiscard]] static std::uint64_t Round(const fair_charge& aCharge);

  /// Number of customers stored.
  [[nodiscard]] std::size_t Customers() const noexcept;

private:
  using seconds = std::chrono::duration<double>;

  struct flow
  {
    // Start tag of the next request, unless the virtual time is later.
    seconds finish{ 0 };
    // Requests waiting or running.
    std::size_t open = 0;
  };

  void DropIdle();

  // Start tag of the request dispatched last.
  seconds mVirtualTime{ 0 };
  seconds mMeanCost;
  bool mIsMeasured = false;
  std::size_t mOpen = 0;
  absl::flat_hash_map<std::string, flow> mFlows;
  // Customers without waiting or running requests, by finish tag.
  absl::btree_set<std::pair<seconds, std::string>> mIdle;
};

/// Charge of one request, settled when it ends, in whichever way.
class fair_ticket
{
public:
  fair_ticket(std::shared_ptr<fair_share> aShare, std::string aCustomer);
  ~fair_ticket();
  fair_ticket(const fair_ticket&) = delete;
  fair_ticket& operator=(const fair_ticket&) = delete;
  fair_ticket(fair_ticket&& aOther) noexcept = default;
  fair_ticket& operator=(fair_ticket&& aOther) noexcept;

  /// Records that the request was sent to a server.
  void Dispatched();

  /// Adds server time that the request has used.
  void Use(std::chrono::duration<double> aTime);

  [[nodiscard]] std::uint64_t Round() const;

private:
  void Settle() noexcept;

  // Empty once moved from.
  std::shared_ptr<fair_share> mShare;
  std::string mCustomer;
  fair_charge mCharge;
  std::chrono::duration<double> mUsed{ 0 };
};

} // namespace currantshed::admit

#endif
