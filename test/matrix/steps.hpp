#ifndef CURRANTSHED_TEST_MATRIX_STEPS_HPP
#define CURRANTSHED_TEST_MATRIX_STEPS_HPP

#include <cstddef>
#include <string>
#include <vector>

namespace currantshed::matrix {

/// The engine that a step's action belongs to.
enum class layer
{
  kGateway,
  kGroup,
  kFailover,
  kApply,
};

/// The moment within an action: when it is requested, after its effect, or just
/// before its answer is handled.
enum class moment
{
  kAsked,
  kDone,
  kAnswered,
};

/// One injection point: an alternative of an engine's action variant, at one
/// moment.
struct step
{
  std::string name;
  layer of = layer::kGateway;
  std::size_t alternative = 0;
  moment at = moment::kAsked;
};

/// Every step, generated from the engines' action variants.
[[nodiscard]] const std::vector<step>&
Steps();

/// Index of a step in Steps().
[[nodiscard]] std::size_t
StepOf(layer aLayer, std::size_t aAlternative, moment aMoment);

} // namespace currantshed::matrix

#endif
