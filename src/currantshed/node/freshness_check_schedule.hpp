#ifndef CURRANTSHED_NODE_FRESHNESS_CHECK_SCHEDULE_HPP
#define CURRANTSHED_NODE_FRESHNESS_CHECK_SCHEDULE_HPP

#include <chrono>
#include <cstddef>

#include "currantshed/clock/time.hpp"

namespace currantshed::node {

/// When this VM asks the store whether its configuration is still the newest.
/// The VMs have an order: the first one asks often enough for all, and tells
/// the others; a later one asks once no proof has come for longer, since those
/// before it are gone or cut off. Asks for no time.
class freshness_check_schedule
{
public:
  /// The VM's place in the order; zero asks first.
  void SetRank(std::size_t aPlace) noexcept { mPlace = aPlace; }

  /// When to ask, given the latest proof.
  [[nodiscard]] clock::time_point NextCheck(
    clock::time_point aProvedAt) const noexcept;

  void OnRequestSent() noexcept { mIsAsking = true; }
  void OnResponse(bool aIsProof, clock::time_point aNow) noexcept;

private:
  std::size_t mPlace = 0;
  unsigned mFailures = 0;
  bool mIsAsking = false;
  clock::time_point mNotBefore{};
};

} // namespace currantshed::node

#endif
