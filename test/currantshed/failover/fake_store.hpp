#ifndef CURRANTSHED_TEST_FAILOVER_FAKE_STORE_HPP
#define CURRANTSHED_TEST_FAILOVER_FAKE_STORE_HPP

#include <string>

#include "currantshed/store/client.hpp"

namespace currantshed::failover::test {

/// A single key of the platform's store with compare-and-swap.
class fake_store
{
public:
  bool Swap(const std::string& aValue, store::index aExpected)
  {
    if (aExpected != content.version) {
      return false;
    }
    content.value = aValue;
    content.version += 1;
    ++swaps;
    return true;
  }

  store::entry content;
  bool down = false;
  /// Responses to swaps are lost after the change was made.
  bool losesAnswers = false;
  unsigned swaps = 0;
};

} // namespace currantshed::failover::test

#endif
