#ifndef CURRANTSHED_GROUP_REFUSALS_HPP
#define CURRANTSHED_GROUP_REFUSALS_HPP

#include <string>

namespace currantshed::group {

/// What a server's refusal of a statement, by its SQLSTATE, says about the
/// request. Classes are those of the SQL standard and of PostgreSQL.
enum class refusal
{
  /// The statement is wrong, and would be refused again.
  kStatement,
  /// The server takes no changes, or none of this term, at present.
  kNotPrimary,
  /// The server or the load stood in the way: serialization, deadlock, locks,
  /// resources, an operator. It may well run when tried again.
  kTransient,
};

[[nodiscard]] refusal
Classify(const std::string& aSqlState);

/// Whether a refusal of the commit itself is certain to have dropped the
/// change: constraints, serialization, and servers that take no changes. The
/// standard's 40003 says that the outcome isn't known.
[[nodiscard]] bool
IsCertainAtCommit(const std::string& aSqlState);

} // namespace currantshed::group

#endif
