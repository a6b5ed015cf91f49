#ifndef CURRANTSHED_GROUP_REFUSALS_HPP
#define CURRANTSHED_GROUP_REFUSALS_HPP

#include <string>

namespace currantshed::group {

/// Meaning of a server error for the request, by its SQLSTATE. Classes are
/// those of the SQL standard and of PostgreSQL.
enum class refusal
{
  /// The statement is invalid and would fail again.
  kStatement,
  /// The server accepts no writes at present, or none of this term.
  kNotPrimary,
  /// A temporary condition: serialization failure, deadlock, lock, resource
  /// shortage or operator action. A retry may succeed.
  kTransient,
};

[[nodiscard]] refusal
Classify(const std::string& aSqlState);

/// Whether an error of the commit itself proves that the change was not
/// applied: constraints, serialization failures, and servers that accept no
/// writes. The outcome after SQLSTATE 40003 of the standard is unknown.
[[nodiscard]] bool
IsCertainAtCommit(const std::string& aSqlState);

} // namespace currantshed::group

#endif
