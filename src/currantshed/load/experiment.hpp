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

/// An order to cut the primary of a group off at a time of the run.
struct cut_order
{
  std::string group;
  std::chrono::milliseconds at{ 0 };
};

/// Reads orders as "group@milliseconds", with commas between. False when the
/// text has another form.
[[nodiscard]] bool
ParseCuts(std::string_view aText, std::vector<cut_order>& aCuts);

/// How an experiment ended.
struct experiment_result
{
  /// What went wrong before the run could be judged; empty when nothing did.
  std::string fault;
  history seen;
  findings found;
};

/// Makes the tables, runs the plan, orders the cuts, waits for the end and
/// checks. A line a second tells how far it is.
[[nodiscard]] experiment_result
RunExperiment(const plan& aPlan,
              const shape& aShape,
              std::vector<cut_order> aCuts,
              std::ostream& aProgress);

} // namespace currantshed::load

#endif
