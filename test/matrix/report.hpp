#ifndef CURRANTSHED_TEST_MATRIX_REPORT_HPP
#define CURRANTSHED_TEST_MATRIX_REPORT_HPP

#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include "test/matrix/cells.hpp"
#include "test/matrix/checker.hpp"
#include "test/matrix/plan.hpp"

namespace currantshed::matrix {

/// A run that violated an invariant.
struct bad_run
{
  plan cell;
  std::vector<violation> violations;
};

/// Results of one part of the matrix.
struct part_result
{
  std::string name;
  std::size_t cells = 0;
  /// Number of cells whose faults were all injected.
  std::size_t struck = 0;
  std::size_t changes = 0;
  std::size_t reads = 0;
  std::array<std::size_t, kInvariants> runsInViolation{};
  std::vector<bad_run> bad;
  /// Steps that no cell reached.
  std::vector<std::string> unreached;
};

/// Whether a seeded bug was detected, and in which cell first.
struct bug_search_result
{
  seeded_bug broken = seeded_bug::kNone;
  invariant expected = invariant::kNothingLost;
  bool caught = false;
  std::size_t runs = 0;
  std::string cell;
  std::string text;
};

/// Runs cells on several threads; the result does not depend on the number of
/// threads.
[[nodiscard]] part_result
RunPart(std::string aName, const std::vector<plan>& aCells, unsigned aThreads);

/// Searches for the first cell that exposes each seeded bug.
[[nodiscard]] std::vector<bug_search_result>
RunBugSearches(unsigned aThreads);

/// Runs the program with the flags `--ci`, `--json FILE`, `--seed N --count N`,
/// `--threads N`, `--proofs`, `--verbose`. The exit code is zero if no
/// invariant was violated and every seeded bug was detected.
[[nodiscard]] int
RunProgram(const std::vector<std::string>& aArguments);

} // namespace currantshed::matrix

#endif
