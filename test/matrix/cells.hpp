#ifndef CURRANTSHED_TEST_MATRIX_CELLS_HPP
#define CURRANTSHED_TEST_MATRIX_CELLS_HPP

#include <cstdint>
#include <vector>

#include "test/matrix/checker.hpp"
#include "test/matrix/plan.hpp"

namespace currantshed::matrix {

/// Every fault at every step, once for each of the given occurrences.
[[nodiscard]] std::vector<plan>
SingleCells();

/// Every fault at every step, twice over.
[[nodiscard]] std::vector<plan>
DoubleCells();

/// Pairs of faults at steps drawn by chance.
[[nodiscard]] std::vector<plan>
PairCells(std::uint64_t aFirstSeed, std::uint64_t aCount);

/// A switched-off rule: what it must be seen as, and where it is looked for.
struct proof
{
  variant broken = variant::kNone;
  promise expected = promise::kNothingLost;
  /// Faults of which each is tried at each step.
  std::vector<fault> faults;
  /// Whether a failover goes on in each of the cells.
  bool failover = false;
  /// What goes wrong besides, in each of the cells.
  std::vector<injection> besides = {};
};

[[nodiscard]] const std::vector<proof>&
Proofs();

/// The cells that are searched for a proof, in order.
[[nodiscard]] std::vector<plan>
CellsFor(const proof& aProof);

} // namespace currantshed::matrix

#endif
