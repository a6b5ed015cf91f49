#ifndef CURRANTSHED_ADMIT_DEADLINE_QUEUE_HPP
#define CURRANTSHED_ADMIT_DEADLINE_QUEUE_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include <absl/container/btree_set.h>

#include "currantshed/admit/drain_meter.hpp"
#include "currantshed/admit/fwd.hpp"
#include "currantshed/clock/time.hpp"

namespace currantshed::admit {

/// One request that waits for a server.
struct waiting
{
  clock::time_point deadline;
  std::uint64_t request = 0;
  /// The class's objective: the share of its requests that must meet their
  /// deadline.
  double objective = 0;

  [[nodiscard]] friend bool operator<(const waiting& aLeft,
                                      const waiting& aRight) noexcept
  {
    return aLeft.deadline != aRight.deadline ? aLeft.deadline < aRight.deadline
                                             : aLeft.request < aRight.request;
  }
};

/// What became of a request that asked to wait.
struct admission
{
  bool admitted = false;
  /// Requests of classes with a lower objective that gave up their place.
  std::vector<std::uint64_t> displaced;
};

/// Requests that wait for a server, by deadline. A request is admitted if it
/// and those admitted before it are expected to leave the queue before their
/// deadlines, at the rate at which the queue drains. Where that can't be,
/// those of the class with the lowest objective give way.
class deadline_queue
{
public:
  using entries = absl::btree_set<waiting>;

  explicit deadline_queue(std::size_t aLimit);

  /// Asks for a place at the given time.
  [[nodiscard]] admission Offer(const waiting& aRequest,
                                clock::time_point aNow);

  /// Puts a request that was admitted before back, whatever waits.
  void Put(const waiting& aRequest);

  /// Takes a request out, for a server or not.
  void Remove(const waiting& aRequest);

  /// Notes that a request left for a server.
  void Departed(clock::time_point aNow);

  /// When a refused request should come back: once those that wait now are
  /// gone, spread by the request's number.
  [[nodiscard]] std::chrono::milliseconds RetryAfter(
    std::uint64_t aRequest) const;

  /// Waiting requests, earliest deadline first.
  [[nodiscard]] const entries& Entries() const noexcept;

private:
  std::size_t mLimit;
  entries mEntries;
  drain_meter mDrain;
};

} // namespace currantshed::admit

#endif
