#ifndef CURRANTSHED_GROUP_STATEMENT_RULES_HPP
#define CURRANTSHED_GROUP_STATEMENT_RULES_HPP

#include <string>

namespace currantshed::group {

/// Whether a caller's statement may run. Statements that would begin or end
/// a transaction break the promises about outcomes; those that change the
/// state of a connection would reach the next one to use it; the project's
/// own table and functions are not for callers.
[[nodiscard]] bool
MayCallerRun(const std::string& aSql);

} // namespace currantshed::group

#endif
