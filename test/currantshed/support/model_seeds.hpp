#ifndef CURRANTSHED_TEST_SUPPORT_MODEL_SEEDS_HPP
#define CURRANTSHED_TEST_SUPPORT_MODEL_SEEDS_HPP

#include <cstdint>
#include <cstdlib>

namespace currantshed::test {

/// Number of seeds with which a model test runs: aDefault, unless the
/// environment variable CURRANTSHED_MODEL_SEEDS sets another number.
[[nodiscard]] inline std::uint32_t
ModelSeeds(std::uint32_t aDefault)
{
  const char* asked = std::getenv("CURRANTSHED_MODEL_SEEDS");
  return asked == nullptr ? aDefault
                          : static_cast<std::uint32_t>(std::atoi(asked));
}

} // namespace currantshed::test

#endif
