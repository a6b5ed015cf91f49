#ifndef CURRANTSHED_ADMIT_CONCURRENCY_LIMIT_HPP
#define CURRANTSHED_ADMIT_CONCURRENCY_LIMIT_HPP

#include <array>
#include <cstddef>

#include "currantshed/admit/fwd.hpp"
#include "currantshed/clock/time.hpp"

namespace currantshed::admit {

/// What one sender knows about a server that it shares with others.
struct concurrency_bounds
{
  /// Statements that the server runs at the same time.
  unsigned slots = 1;
  /// Processes that send it statements, including this one.
  unsigned senders = 1;
  /// Connections of this process, the highest possible limit.
  unsigned connections = 1;

  [[nodiscard]] friend bool operator==(const concurrency_bounds&,
                                       const concurrency_bounds&) = default;
};

/// Limits the statements that one process keeps in flight on a server which it
/// shares with others, without any exchange between them. A server with more
/// statements than slots queues them in order of arrival, and answers later
/// than its fastest recent times; from this the process computes how many of
/// its own statements wait there. The limit rises by one per interval while
/// fewer wait than the process's part of a small standing queue (half of the
/// slots, for all processes together), and falls by a fixed ratio while clearly
/// more do (TCP Vegas). A process thus uses what the others leave unused, and
/// gives it back when their statements make its own wait.
class concurrency_limit
{
public:
  explicit concurrency_limit(const concurrency_bounds& aBounds);

  /// Sets changed bounds; what was learned is kept.
  void SetBounds(const concurrency_bounds& aBounds);

  /// Drops what was learned: the server has restarted.
  void Reset();

  [[nodiscard]] unsigned Limit() const noexcept;
  /// The process's part of the slots; the limit is never below.
  [[nodiscard]] unsigned Floor() const noexcept;

  /// Whether a new request may be sent while this many statements are in
  /// flight. A part of the limit is reserved for requests that no other server
  /// can run, while there are such requests.
  [[nodiscard]] bool Permits(unsigned aRunning,
                             bool aOnlyHere,
                             clock::time_point aNow) const noexcept;

  /// Records that a request arrived which no other server can run.
  void ArrivedOnlyHere(clock::time_point aNow) noexcept;

  /// Records an answer: the kind of work (any number; statements of one kind
  /// take about the same time), the time since the statement was sent, and how
  /// many others are in flight.
  void Answered(std::size_t aKind,
                clock::duration aTime,
                unsigned aStillRunning,
                clock::time_point aNow);

  /// Records that the server rejected a statement because of its load.
  void Rejected(clock::time_point aNow);

private:
  static constexpr std::size_t kKinds = 64;

  /// Fastest recent time of one kind of work: the minimum of a window in
  /// progress and of the one before.
  struct baseline
  {
    clock::duration current{ clock::duration::max() };
    clock::duration previous{ clock::duration::max() };
    unsigned answers = 0;

    [[nodiscard]] clock::duration Observe(clock::duration aTime) noexcept;
    void BeginWindow() noexcept;
  };

  [[nodiscard]] unsigned Reserve(clock::time_point aNow) const noexcept;
  [[nodiscard]] double Start() const noexcept;
  void BeginInterval(clock::time_point aNow);
  void Adjust(clock::time_point aNow);
  void SetLimit(double aLimit) noexcept;

  concurrency_bounds mBounds;
  double mLimit;
  std::array<baseline, kKinds> mBaselines{};
  clock::time_point mOnlyHereAt{};
  clock::time_point mRejectedAt{};
  // Time at the floor towards the next window of the baselines.
  clock::duration mFloorTime{ 0 };
  // The interval in progress.
  clock::time_point mSince{};
  clock::time_point mAnsweredAt{};
  clock::duration mLeastDelay{ clock::duration::max() };
  unsigned mAnswers = 0;
  bool mIsUsed = false;
};

} // namespace currantshed::admit

#endif
