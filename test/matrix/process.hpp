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

/// A simulated process that can be paused, killed and restarted. Events that
/// arrive while it is paused are deferred; events for an earlier incarnation
/// are dropped.
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
  [[nodiscard]] unsigned StartCount() const noexcept { return mStartCount; }
  [[nodiscard]] bool Paused() const noexcept
  {
    return mPausedUntil > mTimeline.Now();
  }

  /// Wraps an event so that it runs in the current incarnation only.
  [[nodiscard]] event Bind(event aEvent)
  {
    return [this, startCount = mStartCount, inner = std::move(aEvent)] {
      Take(startCount, inner);
    };
  }

  void Pause(clock::duration aTime)
  {
    mPausedUntil = std::max(mPausedUntil, mTimeline.Now() + aTime);
  }

  void Wake() { mPausedUntil = {}; }

  void Kill()
  {
    mAlive = false;
    ++mStartCount;
    mOutbox.clear();
    Ended();
  }

  void Start()
  {
    mAlive = true;
    mPausedUntil = {};
    mTimerAt = {};
    CreateEngines();
    Perform();
  }

protected:
  /// Creates the engines of a new incarnation.
  virtual void CreateEngines() = 0;
  virtual void Ended() = 0;
  /// Moves the engines' pending actions into the outbox.
  virtual void Collect() = 0;
  virtual void Tick() = 0;
  [[nodiscard]] virtual clock::time_point NextTick() const = 0;

  using step_action = std::function<void(const fault_effect&)>;

  /// Queues an action, with the step reached when it is requested.
  void Enqueue(std::size_t aStep, step_action aAction)
  {
    mOutbox.push_back({ aStep, std::move(aAction), std::nullopt });
  }

  /// Whether queued actions remain.
  [[nodiscard]] bool Busy() const noexcept
  {
    return mPerforming || !mOutbox.empty();
  }

  [[nodiscard]] injector& Faults() const noexcept { return mFaults; }

  /// Wraps the arrival of an answer: reaches its step, then handles the answer,
  /// unless a fault drops it.
  [[nodiscard]] event Arrival(std::size_t aStep, event aTake, event aLost)
  {
    return Bind(
      [this, aStep, taken = std::move(aTake), lost = std::move(aLost)] {
        const auto effect = mFaults.Reach(aStep, *this);
        if (!mAlive) {
          return;
        }
        if (effect.lost) {
          lost();
          return;
        }
        if (Paused() || effect.delay > clock::duration(0)) {
          mTimeline.In(effect.delay, Bind(taken));
        } else {
          taken();
        }
        if (effect.twice) {
          mTimeline.In(std::chrono::milliseconds(3), Bind(taken));
        }
      });
  }

  /// Performs the queued actions, until the process is paused.
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
      if (!next.effect) {
        next.effect = mFaults.Reach(next.step, *this);
      }
      if (mAlive && Paused()) {
        mOutbox.push_front(std::move(next));
      } else if (mAlive) {
        next.run(*next.effect);
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
  struct queued_action
  {
    std::size_t step = 0;
    step_action run;
    std::optional<fault_effect> effect;
  };

  static constexpr std::chrono::microseconds kLeastStep{ 100 };

  void Take(unsigned aStartCount, const event& aEvent)
  {
    if (aStartCount != mStartCount || !mAlive) {
      return;
    }
    if (Paused()) {
      mTimeline.At(mPausedUntil,
                   [this, aStartCount, aEvent] { Take(aStartCount, aEvent); });
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
  unsigned mStartCount = 0;
  clock::time_point mPausedUntil;
  clock::time_point mTimerAt;
  std::deque<queued_action> mOutbox;
};

} // namespace currantshed::matrix

#endif
