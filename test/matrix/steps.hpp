#ifndef CURRANTSHED_TEST_MATRIX_STEPS_HPP
#define CURRANTSHED_TEST_MATRIX_STEPS_HPP

#include <cstddef>
#include <string>
#include <vector>

namespace currantshed::matrix {

/// Whose action a step belongs to.
enum class layer
{
  kGateway,
  kGroup,
  kFailover,
  kApply,
};

/// When in an action's life: as it is asked for, after its effect, or as its
/// answer is about to be taken.
enum class moment
{
  kAsked,
  kDone,
  kAnswered,
};

/// One place where a fault can strike: an alternative of an engine's action,
/// at one moment.
struct step
{
  std::string name;
  layer of = layer::kGateway;
  std::size_t alternative = 0;
  moment at = moment::kAsked;
};

/// Every step, made from the engines' own lists of actions.
[[nodiscard]] const std::vector<step>&
Steps();

/// Place of a step in the list.
[[nodiscard]] std::size_t
StepOf(layer aLayer, std::size_t aAlternative, moment aMoment);

} // namespace currantshed::matrix

#endif
