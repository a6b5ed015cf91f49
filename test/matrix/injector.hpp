#ifndef CURRANTSHED_TEST_MATRIX_INJECTOR_HPP
#define CURRANTSHED_TEST_MATRIX_INJECTOR_HPP

#include <cstddef>

#include "currantshed/clock/time.hpp"

namespace currantshed::matrix {

class process;

/// What the fault does to the current message.
struct fault_effect
{
  bool lost = false;
  bool twice = false;
  clock::duration delay{ 0 };
};

/// Notified of every step that is reached; injects the planned faults.
class injector
{
public:
  virtual ~injector() = default;

  /// Reports that a process reached a step, given by its index in Steps().
  [[nodiscard]] virtual fault_effect Reach(std::size_t aStep, process& aBy) = 0;
};

} // namespace currantshed::matrix

#endif
