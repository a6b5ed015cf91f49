#ifndef CURRANTSHED_TEST_SUPPORT_MODEL_SEEDS_HPP
#define CURRANTSHED_TEST_SUPPORT_MODEL_SEEDS_HPP

#include <cstdint>
#include <cstdlib>

namespace currantshed::test {

/// How many seeds a model plays: the usual number, or more by hand, as
/// CURRANTSHED_MODEL_SEEDS says.
[[nodiscard]] inline std::uint32_t
ModelSeeds(std::uint32_t aUsual)
{
  const char* asked = std::getenv("CURRANTSHED_MODEL_SEEDS");
  return asked == nullptr ? aUsual
                          : static_cast<std::uint32_t>(std::atoi(asked));
}

} // namespace currantshed::test

#endif
