#ifndef CURRANTSHED_POOLER_LATEST_CONFIGURATION_HPP
#define CURRANTSHED_POOLER_LATEST_CONFIGURATION_HPP

#include <cstdint>

#include "currantshed/pooler/fwd.hpp"
#include "currantshed/wire/codec.hpp"

namespace currantshed::pooler {

/// The configuration in force at this process: the one with the highest
/// version seen, whether the store or a peer gave it. It never goes back to a
/// lower version, whatever the store or a peer says later.
class latest_configuration
{
public:
  /// Takes a version over if it is above the one held; false if not.
  bool ApplyIfNewer(const wire::configuration& aOffered);

  /// Whether any version is held.
  [[nodiscard]] bool HasAny() const noexcept;

  /// The version held, or version zero.
  [[nodiscard]] const wire::configuration& Current() const noexcept;

private:
  wire::configuration mCurrent;
};

} // namespace currantshed::pooler

#endif
