#ifndef CURRANTSHED_ADMIT_DEADLINE_QUEUE_HPP
#define CURRANTSHED_ADMIT_DEADLINE_QUEUE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include "currantshed/admit/drain_meter.hpp"
#include "currantshed/admit/fwd.hpp"
#include "currantshed/clock/time.hpp"

namespace currantshed::admit {

/// A request waiting for a server.
struct queued_request
{
  clock::time_point deadline;
  std::uint64_t request = 0;
  /// Objective of the request's class: the fraction of its requests that must
  /// meet their deadline.
  double objective = 0;
  /// Round of its customer's fair share (fair_share::Round); zero without
  /// customers.
  std::uint64_t round = 0;

  /// Stricter classes first, then customers that have used less, then earlier
  /// deadlines.
  [[nodiscard]] friend bool operator<(const queued_request& aLeft,
                                      const queued_request& aRight) noexcept
  {
    if (aLeft.objective != aRight.objective) {
      return aLeft.objective > aRight.objective;
    }
    if (aLeft.round != aRight.round) {
      return aLeft.round < aRight.round;
    }
    return aLeft.deadline != aRight.deadline ? aLeft.deadline < aRight.deadline
                                             : aLeft.request < aRight.request;
  }
};

/// Result of an admission attempt.
struct admission
{
  bool admitted = false;
  /// Requests of less strict classes, or of customers of the same class that
  /// are above their share, that were removed to make room.
  std::vector<std::uint64_t> displaced;
};

/// Requests waiting for a server, ordered by their class's objective, then by
/// their customer's fair share, then by deadline. A request is admitted if, at
/// the measured drain rate, it is expected to meet its deadline and does not
/// make an already admitted request of an equally strict class miss its own.
/// Waiting requests of less strict classes that would miss their deadlines are
/// removed, so that they are refused at once instead of running late; so are
/// those of the same class whose customers are above their share. The order has
/// little effect while the capacity suffices; under overload the strictest
/// classes keep their targets.
class deadline_queue
{
public:
  using entries = absl::btree_set<queued_request>;

  explicit deadline_queue(std::size_t aLimit);

  /// Admits a request, or refuses it, by the rule above.
  [[nodiscard]] admission TryAdmit(const queued_request& aRequest,
                                   clock::time_point aNow);

  /// Puts an admitted request back, regardless of the limit and of deadlines.
  void Requeue(const queued_request& aRequest);

  /// Removes a request, whether it was dispatched or not.
  void Remove(const queued_request& aRequest);

  /// Records that a request was dispatched, of a class that is named or not, as
  /// in Served.
  void Departed(clock::time_point aNow,
                std::optional<double> aObjective = std::nullopt);

  /// Records the service time of a request, from dispatch to response. Classes
  /// that are named are measured separately: the work of one may be a multiple
  /// of another's target.
  void Served(clock::duration aTime,
              std::optional<double> aObjective = std::nullopt);

  /// Whether a request dispatched now is expected to meet its deadline.
  [[nodiscard]] bool CanMeetDeadline(const queued_request& aRequest,
                                     clock::time_point aNow) const;

  /// When to retry a refused request of a class: after the waiting requests of
  /// classes that are as strict, and those told earlier to retry, have been
  /// dispatched at the measured rate. Jitter is derived from the request's
  /// number.
  [[nodiscard]] std::chrono::milliseconds RetryAfter(std::uint64_t aRequest,
                                                     clock::time_point aNow,
                                                     double aObjective = 0);

  /// Expected time until a request that arrives now is dispatched, if it is
  /// queued behind all others; zero before a rate has been measured.
  [[nodiscard]] clock::duration ExpectedWait() const;

  /// Expected service time of a class: mean plus mean deviation.
  [[nodiscard]] clock::duration ExpectedServiceTime(double aObjective) const;

  /// Waiting requests in queue order.
  [[nodiscard]] const entries& Entries() const noexcept;

private:
  struct service_time
  {
    std::chrono::duration<double> mean{ 0 };
    std::chrono::duration<double> deviation{ 0 };
  };

  /// Work of a request, in mean requests: one for a class that is not named.
  [[nodiscard]] double WorkOf(const queued_request& aRequest) const;
  /// Whether a request with so much work ahead of it is expected to meet its
  /// deadline.
  [[nodiscard]] bool WouldMeetDeadline(const queued_request& aRequest,
                                       double aAhead,
                                       clock::time_point aNow) const;
  /// Requests behind aRequest that would miss their deadlines if it were
  /// admitted; none if one of an equally strict class is among them.
  [[nodiscard]] std::optional<std::vector<queued_request>> FindDelayed(
    const queued_request& aRequest,
    double aAhead,
    clock::time_point aNow) const;

  std::size_t mLimit;
  entries mEntries;
  drain_meter mDrain;
  // Of all requests whose class was not named, and by objective.
  service_time mServiceTime;
  absl::btree_map<double, service_time> mServiceTimes;
  // Mean service time of the requests that were dispatched.
  std::chrono::duration<double> mMeanDispatched{ 0 };
  // When the request refused last was told to retry, by objective.
  absl::btree_map<double, clock::time_point> mLastRetryAt;
};

} // namespace currantshed::admit

#endif
