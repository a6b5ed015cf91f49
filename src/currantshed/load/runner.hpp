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

/// Runs a plan's sessions on its threads. Each thread has its own event loop,
/// sessions and history, and shares only the progress with others.
class runner
{
public:
  explicit runner(plan aPlan);
  runner(const runner&) = delete;
  runner& operator=(const runner&) = delete;
  ~runner();

  /// Makes the run's tables in every group; false when that did not succeed
  /// in the time given.
  [[nodiscard]] bool Prepare(std::chrono::milliseconds aTimeout);

  /// Starts all sessions; the run's time begins here.
  void Start();

  /// Asks the sessions to end after what they are doing.
  void Stop();

  /// Waits for the end of every session, and hands their history over.
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
