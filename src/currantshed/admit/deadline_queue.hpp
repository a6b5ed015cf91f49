#ifndef CURRANTSHED_ADMIT_DEADLINE_QUEUE_HPP
#define CURRANTSHED_ADMIT_DEADLINE_QUEUE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
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

  /// Stricter classes come first, then earlier deadlines.
  [[nodiscard]] friend bool operator<(const waiting& aLeft,
                                      const waiting& aRight) noexcept
  {
    if (aLeft.objective != aRight.objective) {
      return aLeft.objective > aRight.objective;
    }
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

/// Requests that wait for a server, by their class's objective, then by
/// deadline. A request is admitted if it is expected to leave the queue in
/// time to run, at the rate at which the queue drains, and without making one
/// of its own class miss its deadline that was admitted before it. Waiting
/// requests of less strict classes that would miss theirs give way: they are
/// refused now rather than run late. While there is room for all, the order
/// hardly matters; where there isn't, the strictest classes keep their targets.
class deadline_queue
{
public:
  using entries = absl::btree_set<waiting>;

  explicit deadline_queue(std::size_t aLimit);

  /// Asks for a place at the given time.
  [[nodiscard]] admission TryAdmit(const waiting& aRequest,
                                   clock::time_point aNow);

  /// Puts a request that was admitted before back, whatever waits.
  void Requeue(const waiting& aRequest);

  /// Takes a request out, for a server or not.
  void Remove(const waiting& aRequest);

  /// Notes that a request left for a server.
  void Departed(clock::time_point aNow);

  /// Notes how long a request took from when it was sent to its answer.
  void Served(clock::duration aTime);

  /// Whether a request that would be sent now is likely to end in time.
  [[nodiscard]] bool CanMeetDeadline(const waiting& aRequest,
                                     clock::time_point aNow) const;

  /// When a refused request should come back: once those that wait now, and
  /// those that were told to come back before, are gone at the measured rate;
  /// spread by the request's number.
  [[nodiscard]] std::chrono::milliseconds RetryAfter(std::uint64_t aRequest,
                                                     clock::time_point aNow);

  /// Waiting requests in their order.
  [[nodiscard]] const entries& Entries() const noexcept;

private:
  /// The time from sent to answered to count with.
  [[nodiscard]] clock::duration Service() const;
  /// Whether the request at that place of the queue would start in time.
  [[nodiscard]] bool IsInTime(const waiting& aRequest,
                              std::size_t aPlace,
                              clock::time_point aNow) const;
  /// Requests behind that would miss their deadlines with it admitted; none
  /// when one of a class as strict is among them.
  [[nodiscard]] std::optional<std::vector<waiting>> FindDelayed(
    const waiting& aRequest,
    std::size_t aPlace,
    clock::time_point aNow) const;

  std::size_t mLimit;
  entries mEntries;
  drain_meter mDrain;
  // Mean and mean deviation of the time from sent to answered.
  std::chrono::duration<double> mService{ 0 };
  std::chrono::duration<double> mDeviation{ 0 };
  // When the last one that was refused should come back.
  clock::time_point mLastRetryAt{};
};

} // namespace currantshed::admit

#endif
