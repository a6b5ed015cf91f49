#ifndef CURRANTSHED_POOLER_LATEST_CONFIGURATION_HPP
#define CURRANTSHED_POOLER_LATEST_CONFIGURATION_HPP

#include <cstdint>

#include "currantshed/pooler/fwd.hpp"
#include "currantshed/wire/codec.hpp"

namespace currantshed::pooler {

/// The configuration in force in this process: the one with the highest version
/// received from the store or from a peer. The version never decreases, so an
/// older configuration from a restored store or a stale peer is ignored.
class latest_configuration
{
public:
  /// Replaces the configuration if the given version is higher than the current
  /// one; returns false otherwise.
  bool ApplyIfNewer(const wire::configuration& aOffered);

  /// Whether a configuration has been received.
  [[nodiscard]] bool HasAny() const noexcept;

  /// The current configuration; version zero before any has been received.
  [[nodiscard]] const wire::configuration& Current() const noexcept;

private:
  wire::configuration mCurrent;
};

} // namespace currantshed::pooler

#endif
