#ifndef CURRANTSHED_NODE_ENTRY_ERROR_HPP
#define CURRANTSHED_NODE_ENTRY_ERROR_HPP

#include <system_error>

namespace currantshed::node {

/// Why an entry of the store's list of servers cannot be used.
enum class entry_errc
{
  /// The key has no server id, or one with characters that commands do not
  /// allow.
  kNoId = 1,
  /// Longer than any entry that a server writes.
  kTooLong,
  /// Not a valid document.
  kUnreadable,
  /// A field is missing.
  kFieldMissing,
  /// A field has another type or is out of range.
  kFieldWrong,
  /// The state of the server is unknown.
  kUnknownState,
  /// The operators' configuration has no such service.
  kUnknownService,
};

/// The category of these errors. Messages are single words, for logs and metric
/// labels.
[[nodiscard]] const std::error_category&
EntryCategory() noexcept;

/// Enables the implicit conversion of entry_errc to std::error_code.
[[nodiscard]] std::error_code
make_error_code(entry_errc aError) noexcept;

} // namespace currantshed::node

namespace std {

template<>
struct is_error_code_enum<currantshed::node::entry_errc> : true_type
{
};

} // namespace std

#endif
