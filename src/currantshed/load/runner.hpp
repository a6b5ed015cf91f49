#ifndef CURRANTSHED_LOAD_RUNNER_HPP
#define CURRANTSHED_LOAD_RUNNER_HPP

#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/load/caller.hpp"
#include "currantshed/load/history.hpp"
#include "currantshed/load/plan.hpp"

namespace currantshed::load {

/// Runs the sessions of a plan on its threads. Each thread has its own event
/// loop, sessions and history; only the progress counters are shared.
class runner
{
public:
  explicit runner(plan aPlan);
  runner(const runner&) = delete;
  runner& operator=(const runner&) = delete;
  ~runner();

  /// Creates the tables of the run in every group; returns false if that fails
  /// within the timeout.
  [[nodiscard]] bool Prepare(std::chrono::milliseconds aTimeout);

  /// Starts all sessions and the clock of the run.
  void Start();

  /// Requests the sessions to end after their current activity.
  void Stop();

  /// Waits for all sessions to end and returns their history.
  [[nodiscard]] history Finish();

  /// Whether every session has ended.
  [[nodiscard]] bool Ended() const;

  [[nodiscard]] run_offset Now() const;
  [[nodiscard]] const progress& Progress() const noexcept;

private:
  struct worker;

  plan mPlan;
  clock::time_point mOrigin;
  progress mProgress;
  std::vector<std::unique_ptr<worker>> mWorkers;
};

} // namespace currantshed::load

#endif
