#ifndef CURRANTSHED_TEST_MATRIX_CELLS_HPP
#define CURRANTSHED_TEST_MATRIX_CELLS_HPP

#include <cstdint>
#include <vector>

#include "test/matrix/checker.hpp"
#include "test/matrix/plan.hpp"

namespace currantshed::matrix {

/// Every fault at every step, one plan for each of the given occurrences.
[[nodiscard]] std::vector<plan>
SingleCells();

/// Every fault at every step, struck twice in one run.
[[nodiscard]] std::vector<plan>
DoubleCells();

/// Pairs of faults at randomly drawn steps.
[[nodiscard]] std::vector<plan>
PairCells(std::uint64_t aFirstSeed, std::uint64_t aCount);

/// A disabled rule (seeded bug): the violation the checker must report for it,
/// and the plans to search.
struct bug_search
{
  seeded_bug broken = seeded_bug::kNone;
  invariant expected = invariant::kNothingLost;
  /// Faults to inject, each one at every step.
  std::vector<fault> faults;
  /// Whether each plan includes a failover.
  bool failover = false;
  /// Additional faults in every plan.
  std::vector<injection> additional = {};
};

[[nodiscard]] const std::vector<bug_search>&
BugSearches();

/// The plans to search for a seeded bug, in order.
[[nodiscard]] std::vector<plan>
CellsFor(const bug_search& aSearch);

} // namespace currantshed::matrix

#endif
