#ifndef CURRANTSHED_FAILOVER_ERROR_HPP
#define CURRANTSHED_FAILOVER_ERROR_HPP

#include <system_error>

namespace currantshed::failover {

/// Errors in a term record.
enum class record_error
{
  /// The text is not a JSON object.
  kNotJson = 1,
  /// A field is missing or has another type.
  kWrongField,
  /// The text is longer than any record written by this module.
  kTooLarge,
};

/// Error category of this module.
[[nodiscard]] const std::error_category&
FailoverCategory() noexcept;

[[nodiscard]] std::error_code
make_error_code(record_error aError) noexcept;

} // namespace currantshed::failover

template<>
struct std::is_error_code_enum<currantshed::failover::record_error> // NOLINT
  : std::true_type
{
};

#endif
