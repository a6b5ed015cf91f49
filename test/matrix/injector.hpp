#ifndef CURRANTSHED_TEST_MATRIX_INJECTOR_HPP
#define CURRANTSHED_TEST_MATRIX_INJECTOR_HPP

#include <cstddef>

#include "currantshed/clock/time.hpp"

namespace currantshed::matrix {

class process;

/// What becomes of the message at hand.
struct fate
{
  bool lost = false;
  bool twice = false;
  clock::duration delay{ 0 };
};

/// Told of every step that is reached; lets the planned faults strike.
class injector
{
public:
  virtual ~injector() = default;

  /// A process has reached a step, by its place in the list of steps.
  [[nodiscard]] virtual fate Reach(std::size_t aStep, process& aBy) = 0;
};

} // namespace currantshed::matrix

#endif
