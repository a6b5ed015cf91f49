#ifndef CURRANTSHED_TEST_MATRIX_SURROUNDINGS_HPP
#define CURRANTSHED_TEST_MATRIX_SURROUNDINGS_HPP

#include <chrono>
#include <random>

#include "test/matrix/history.hpp"
#include "test/matrix/injector.hpp"
#include "test/matrix/rules.hpp"
#include "test/matrix/servers.hpp"
#include "test/matrix/store.hpp"
#include "test/matrix/timeline.hpp"

namespace currantshed::matrix {

/// State shared by all parties of one run.
struct surroundings
{
  timeline& time;
  server_group& servers;
  fake_store& store;
  injector& faults;
  matrix::rules& rules;
  history& seen;
  std::mt19937_64& chance;

  /// Random transit time of one message.
  [[nodiscard]] clock::duration Transit() const
  {
    constexpr unsigned kSpread = 1500;
    return std::chrono::microseconds(500 + chance() % kSpread);
  }
};

} // namespace currantshed::matrix

#endif
