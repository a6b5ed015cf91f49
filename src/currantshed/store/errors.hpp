#ifndef CURRANTSHED_STORE_ERRORS_HPP
#define CURRANTSHED_STORE_ERRORS_HPP

#include <system_error>

#include "currantshed/store/fwd.hpp"

namespace currantshed::store {

/// What may go wrong between a process and the platform.
enum class errc
{
  /// No connection could be made, or it broke.
  kUnreachable = 1,
  /// No whole answer came in time.
  kTimeout,
  /// The platform answered that it can't serve at the moment.
  kUnavailable,
  /// The platform's limit on calls a second was passed.
  kRateLimited,
  /// The platform refused the call itself.
  kRejected,
  /// The answer passed the limit on its size.
  kTooLarge,
  /// The answer isn't what the interface lays down.
  kMalformed,
  /// The lease has ended.
  kLeaseNotFound,
  /// The changes that a watch asks for are no longer kept.
  kHistoryCompacted,
  /// The store has come back from an older copy since: the answer, or what the
  /// call refers to, is of an earlier era.
  kStaleEra,
};

/// The category of the platform's errors.
[[nodiscard]] const std::error_category&
StoreCategory() noexcept;

/// Makes std::error_code take the enumerators as they are.
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
