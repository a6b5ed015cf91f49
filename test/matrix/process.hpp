#ifndef CURRANTSHED_TEST_MATRIX_PROCESS_HPP
#define CURRANTSHED_TEST_MATRIX_PROCESS_HPP

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "test/matrix/injector.hpp"
#include "test/matrix/timeline.hpp"

namespace currantshed::matrix {

/// A process that can be paused, killed and started again. What happens to it
/// while it is paused waits; what was meant for an earlier life is dropped.
class process
{
public:
  using event = timeline::event;

  process(timeline& aTimeline, injector& aFaults, std::string aName)
    : mTimeline(aTimeline)
    , mFaults(aFaults)
    , mName(std::move(aName))
  {
  }
  process(const process&) = delete;
  process& operator=(const process&) = delete;
  virtual ~process() = default;

  [[nodiscard]] const std::string& VmName() const noexcept { return mName; }
  [[nodiscard]] bool Alive() const noexcept { return mAlive; }
  [[nodiscard]] unsigned Life() const noexcept { return mLife; }
  [[nodiscard]] bool Paused() const noexcept
  {
    return mPausedUntil > mTimeline.Now();
  }

  /// An event bound to the present life.
  [[nodiscard]] event Bind(event aEvent)
  {
    return
      [this, life = mLife, inner = std::move(aEvent)] { Take(life, inner); };
  }

  void Pause(clock::duration aTime)
  {
    mPausedUntil = std::max(mPausedUntil, mTimeline.Now() + aTime);
  }

  void Wake() { mPausedUntil = {}; }

  void Kill()
  {
    mAlive = false;
    ++mLife;
    mOutbox.clear();
    Ended();
  }

  void Start()
  {
    mAlive = true;
    mPausedUntil = {};
    mTimerAt = {};
    Begun();
    Perform();
  }

protected:
  /// Makes the engines of a new life.
  virtual void Begun() = 0;
  virtual void Ended() = 0;
  /// Puts what the engines want done into the outbox.
  virtual void Collect() = 0;
  virtual void Tick() = 0;
  [[nodiscard]] virtual clock::time_point NextTick() const = 0;

  using deed = std::function<void(const fate&)>;

  /// Puts an action into the outbox, with the step at which it is asked for.
  void Want(std::size_t aStep, deed aDeed)
  {
    mOutbox.push_back({ aStep, std::move(aDeed), std::nullopt });
  }

  /// Whether something wanted has not been done yet.
  [[nodiscard]] bool Busy() const noexcept
  {
    return mPerforming || !mOutbox.empty();
  }

  [[nodiscard]] injector& Faults() const noexcept { return mFaults; }

  /// An answer that arrives: reaches its step, then is taken, unless it is
  /// lost.
  [[nodiscard]] event Arrival(std::size_t aStep, event aTake, event aLost)
  {
    return Bind(
      [this, aStep, taken = std::move(aTake), lost = std::move(aLost)] {
        const auto struck = mFaults.Reach(aStep, *this);
        if (!mAlive) {
          return;
        }
        if (struck.lost) {
          lost();
          return;
        }
        if (Paused() || struck.delay > clock::duration(0)) {
          mTimeline.In(struck.delay, Bind(taken));
        } else {
          taken();
        }
        if (struck.twice) {
          mTimeline.In(std::chrono::milliseconds(3), Bind(taken));
        }
      });
  }

  /// Does what the engines want, up to a pause.
  void Perform()
  {
    if (mPerforming) {
      return;
    }
    mPerforming = true;
    Collect();
    while (!mOutbox.empty() && mAlive && !Paused()) {
      auto next = std::move(mOutbox.front());
      mOutbox.pop_front();
      if (!next.struck) {
        next.struck = mFaults.Reach(next.step, *this);
      }
      if (mAlive && Paused()) {
        mOutbox.push_front(std::move(next));
      } else if (mAlive) {
        next.run(*next.struck);
      }
      if (mAlive) {
        Collect();
      }
    }
    mPerforming = false;
    if (mAlive) {
      SetTimer();
    }
  }

  [[nodiscard]] timeline& Time() const noexcept { return mTimeline; }

private:
  struct wanted
  {
    std::size_t step = 0;
    deed run;
    std::optional<fate> struck;
  };

  static constexpr std::chrono::microseconds kLeastStep{ 100 };

  void Take(unsigned aLife, const event& aEvent)
  {
    if (aLife != mLife || !mAlive) {
      return;
    }
    if (Paused()) {
      mTimeline.At(mPausedUntil,
                   [this, aLife, aEvent] { Take(aLife, aEvent); });
      return;
    }
    aEvent();
    Perform();
  }

  void SetTimer()
  {
    const auto earliest = mTimeline.Now() + kLeastStep;
    auto due = mOutbox.empty() ? NextTick() : earliest;
    if (due == clock::time_point::max()) {
      return;
    }
    due = std::max(due, earliest);
    if (mTimerAt > mTimeline.Now() && mTimerAt <= due) {
      return;
    }
    mTimerAt = due;
    mTimeline.At(due, Bind([this] {
                   if (NextTick() <= mTimeline.Now()) {
                     Tick();
                   }
                 }));
  }

  timeline& mTimeline;
  injector& mFaults;
  std::string mName;
  bool mAlive = false;
  bool mPerforming = false;
  unsigned mLife = 0;
  clock::time_point mPausedUntil;
  clock::time_point mTimerAt;
  std::deque<wanted> mOutbox;
};

} // namespace currantshed::matrix

#endif
