#ifndef CURRANTSHED_STORE_ERRORS_HPP
#define CURRANTSHED_STORE_ERRORS_HPP

#include <system_error>

#include "currantshed/store/fwd.hpp"

namespace currantshed::store {

/// Errors of calls to the store and to the platform.
enum class errc
{
  /// No connection could be made, or it broke.
  kUnreachable = 1,
  /// No response arrived in time.
  kTimeout,
  /// The platform responded that it cannot serve at the moment.
  kUnavailable,
  /// The platform's limit on calls per second was exceeded.
  kRateLimited,
  /// The platform rejected the request.
  kRejected,
  /// The response exceeds the size limit.
  kTooLarge,
  /// The response began, but its rest did not arrive.
  kIncomplete,
  /// The response does not conform to the interface.
  kMalformed,
  /// The lease does not exist any more.
  kLeaseNotFound,
  /// The store no longer has the changes after the requested revision.
  kHistoryCompacted,
  /// The store has been restored from an older snapshot: the response, or the
  /// revision or lease that the call refers to, belongs to an earlier era.
  kStaleEra,
};

/// The category of the errors above.
[[nodiscard]] const std::error_category&
StoreCategory() noexcept;

/// Lets the enumerators convert to std::error_code implicitly.
[[nodiscard]] std::error_code
make_error_code(errc aError) noexcept;

} // namespace currantshed::store

namespace std {

template<>
struct is_error_code_enum<currantshed::store::errc> : true_type
{
};

} // namespace std

#endif
