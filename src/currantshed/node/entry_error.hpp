#ifndef CURRANTSHED_NODE_ENTRY_ERROR_HPP
#define CURRANTSHED_NODE_ENTRY_ERROR_HPP

#include <system_error>

namespace currantshed::node {

/// Why an entry on the store's list of servers names no server to use.
enum class entry_errc
{
  /// The key has no id, or one that can't stand in a command.
  kNoId = 1,
  /// Longer than any entry that a server writes.
  kTooLong,
  /// Not a document that can be read.
  kUnreadable,
  /// A field is missing.
  kFieldMissing,
  /// A field is of another type, or out of its range.
  kFieldWrong,
  /// The server is in no state that is known.
  kUnknownState,
  /// The operators' configuration has no such service.
  kUnknownService,
};

/// The category of these errors; messages are single words, for logs and
/// counters.
[[nodiscard]] const std::error_category&
EntryCategory() noexcept;

/// Makes std::error_code take the enumerators as they are.
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
