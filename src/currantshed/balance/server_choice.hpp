#ifndef CURRANTSHED_BALANCE_SERVER_CHOICE_HPP
#define CURRANTSHED_BALANCE_SERVER_CHOICE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "currantshed/balance/fwd.hpp"
#include "currantshed/clock/time.hpp"

namespace currantshed::balance {

/// Load of a server as a connection holder has reported it.
struct reported_load
{
  std::chrono::milliseconds expectedWait{ 0 };
  /// Requests that wait at the holder.
  unsigned queued = 0;
  clock::duration age{ 0 };
};

/// A server that a read may go to.
struct candidate
{
  bool isPrimary = false;
  /// Whether it is expected to answer the read now, connections aside.
  bool canServe = false;
  /// Whether there is an idle connection, or one can be opened now.
  bool hasConnection = false;
  /// Expected time of the read by this VM's own measurements, including that of
  /// opening a connection.
  clock::duration expected{ 0 };
  /// Empty without a report.
  std::optional<reported_load> load;
  /// `outlier_detector::Share`.
  double share = 1.0;
  /// When its lag is expected to have ended for this read; empty when that
  /// can't be expected.
  std::optional<clock::duration> catchesUpIn;
};

/// What to do with a read.
struct choice
{
  enum class action
  {
    kSend,
    kWait,
    /// Nothing is expected to serve it in time.
    kRefuse,
  };

  action what = action::kWait;
  /// For kSend: the index of the candidate.
  std::size_t index = 0;
  /// For kWait: when something is expected to have changed, if known.
  std::optional<clock::duration> retryIn;

  [[nodiscard]] friend bool operator==(const choice&, const choice&) = default;
};

/// Chooses a server for a read: of two replicas picked at random the one with
/// the smaller expected time, or the primary if it takes less than half of
/// that. The best of all would be the same one for all VMs, since each of them
/// sees little of the others' load.
///
/// What only the primary can run has no other server. Reads therefore leave the
/// primary alone while a holder reports that requests wait for it. Then they
/// wait, if a replica is expected to catch up in time or the primary to be free
/// again. Otherwise they go to the primary, and are refused only if the
/// reported wait exceeds the time that they have left.
///
/// aRandom is a uniformly distributed number: the function itself is
/// deterministic. aTimeLeft is the time until the read's target.
[[nodiscard]] choice
ChooseServer(const std::vector<candidate>& aCandidates,
             clock::duration aTimeLeft,
             std::uint64_t aRandom);

} // namespace currantshed::balance

#endif
