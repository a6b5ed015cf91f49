#ifndef CURRANTSHED_BALANCE_OUTLIER_DETECTOR_HPP
#define CURRANTSHED_BALANCE_OUTLIER_DETECTOR_HPP

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>

#include "currantshed/balance/fwd.hpp"
#include "currantshed/clock/time.hpp"

namespace currantshed::balance {

/// What became of one statement, or of one connection that was needed.
enum class observation
{
  kSucceeded,
  /// The server itself answered BUSY.
  kRejected,
  /// The server itself answered FAILED.
  kFailed,
  /// A direct connection was lost while the server owed an answer.
  kReset,
  /// No connection could be opened, or a connection holder reported that. The
  /// statement has not reached the server.
  kUnreachable,
  /// A relayed connection was lost, or a relay is silent. The path may be the
  /// cause, so this is no evidence about the server.
  kPathLost,
};

/// Name of the observation in logs.
[[nodiscard]] std::string_view
NameOf(observation aWhat);

/// Servers of one group, as one observer sees them now.
struct group_health
{
  std::size_t servers = 0;
  std::size_t ejected = 0;
  /// Servers that look bad, whether ejected or not.
  std::size_t bad = 0;
};

/// The inputs of an ejection, for logs.
struct ejection
{
  std::string_view reason;
  /// Thousandths of the recent statements, of this observer and as reported by
  /// a connection holder.
  unsigned failurePermille = 0;
  unsigned reportedPermille = 0;
  std::chrono::milliseconds duration{ 0 };
  /// Ejections that are remembered, including this one.
  unsigned repetitions = 0;
};

/// Decides by what one observer sees of one server whether reads avoid it. It
/// answers the load in which a server rejects, resets or refuses a large part
/// of its statements: such a server answers fast and so looks attractive.
///
/// An ejection is bounded in time. Its duration doubles with each repetition,
/// and only a healthy span, not a single success, forgets a repetition; so a
/// server that goes down and up each second is used less and less. After an
/// ejection the server first gets a share of its work, and a failure then
/// ejects it again.
class outlier_detector
{
public:
  void Observe(observation aWhat, clock::time_point aNow);

  /// Records the failures that a connection holder reports. A holder sees the
  /// statements of many VMs, and so many more than this observer.
  void ObserveReport(unsigned aFailurePermille, clock::time_point aNow);

  /// Ejects the server if it looks bad and the group allows it: at most a third
  /// of a group, at least one server of several, and none if all look bad.
  [[nodiscard]] std::optional<ejection> TryEject(const group_health& aGroup,
                                                 clock::time_point aNow);

  /// Whether an ejection has ended since the last call that returned true.
  [[nodiscard]] bool TakeReturned(clock::time_point aNow);

  [[nodiscard]] bool IsEjected(clock::time_point aNow) const noexcept;

  /// Whether it is ejected, or would be if the group allowed it.
  [[nodiscard]] bool LooksBad(clock::time_point aNow) const;

  /// Share of its work that it gets: zero while ejected, then rising to one.
  [[nodiscard]] double Share(clock::time_point aNow) const;

  /// Thousandths of the recent statements that failed; zero while there are too
  /// few to report to others.
  [[nodiscard]] unsigned FailurePermille(clock::time_point aNow) const;

private:
  struct counts
  {
    double failures = 0;
    double all = 0;
  };

  /// Exponentially fading counts.
  class recent_counts
  {
  public:
    void Add(double aFailures, double aAll, clock::time_point aNow);
    [[nodiscard]] counts At(clock::time_point aNow) const;

  private:
    counts mCounts;
    clock::time_point mAt{};
  };

  [[nodiscard]] bool IsReturning(clock::time_point aNow) const noexcept;
  [[nodiscard]] bool HasBadReport(clock::time_point aNow) const;
  [[nodiscard]] unsigned RepetitionsAt(clock::time_point aNow) const;

  // Since the last ejection, and all. A holder that avoids the server itself
  // still reports what the statements of others show.
  recent_counts mSinceEjection;
  recent_counts mAll;
  observation mLastFailure = observation::kFailed;
  unsigned mReportedPermille = 0;
  clock::time_point mReportedAt{};
  unsigned mRepetitions = 0;
  clock::time_point mEjectedUntil{};
  bool mAwaitsReturn = false;
};

} // namespace currantshed::balance

#endif
