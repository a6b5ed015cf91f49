#ifndef CURRANTSHED_LOAD_EXPERIMENT_HPP
#define CURRANTSHED_LOAD_EXPERIMENT_HPP

#include <chrono>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "currantshed/load/checker.hpp"
#include "currantshed/load/history.hpp"
#include "currantshed/load/plan.hpp"
#include "currantshed/load/shape.hpp"

namespace currantshed::load {

/// Schedules a cut of the network of the primary of a group, at a time since
/// the start of the run.
struct cut_order
{
  std::string group;
  std::chrono::milliseconds at{ 0 };
};

/// Parses cuts of the form "group@milliseconds", separated by commas. Returns
/// false if the text is malformed.
[[nodiscard]] bool
ParseCuts(std::string_view aText, std::vector<cut_order>& aCuts);

/// Result of an experiment.
struct experiment_result
{
  /// Error that prevented the run from being checked; empty on success.
  std::string fault;
  history seen;
  findings found;
};

/// Creates the tables, runs the plan, injects the scheduled cuts, waits for the
/// sessions to end and checks the results. Prints the progress once per second.
[[nodiscard]] experiment_result
RunExperiment(const plan& aPlan,
              const shape& aShape,
              std::vector<cut_order> aCuts,
              std::ostream& aProgress);

} // namespace currantshed::load

#endif
