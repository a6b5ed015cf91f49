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

/// A run that kept a promise badly.
struct bad_run
{
  plan cell;
  std::vector<breach> breaches;
};

/// One part of the matrix.
struct part_result
{
  std::string name;
  std::size_t cells = 0;
  /// Cells whose faults all struck.
  std::size_t struck = 0;
  std::size_t changes = 0;
  std::size_t reads = 0;
  std::array<std::size_t, kPromises> runsInBreach{};
  std::vector<bad_run> bad;
  /// Steps that no cell reached.
  std::vector<std::string> unreached;
};

/// Whether a switched-off rule was seen, and where first.
struct proof_result
{
  variant broken = variant::kNone;
  promise expected = promise::kNothingLost;
  bool caught = false;
  std::size_t runs = 0;
  std::string cell;
  std::string text;
};

/// Runs cells on several threads; the result does not depend on how many.
[[nodiscard]] part_result
RunPart(std::string aName, const std::vector<plan>& aCells, unsigned aThreads);

/// Looks for the first cell that shows each switched-off rule.
[[nodiscard]] std::vector<proof_result>
RunProofs(unsigned aThreads);

/// The program: `--ci`, `--json FILE`, `--seed N --count N`, `--threads N`,
/// `--proofs`, `--verbose`. The exit code is zero when no promise was broken
/// and every switched-off rule was seen.
[[nodiscard]] int
RunProgram(const std::vector<std::string>& aArguments);

} // namespace currantshed::matrix

#endif
