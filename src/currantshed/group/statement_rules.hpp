#ifndef CURRANTSHED_GROUP_STATEMENT_RULES_HPP
#define CURRANTSHED_GROUP_STATEMENT_RULES_HPP

#include <string>

namespace currantshed::group {

/// Whether a caller may run the statement. Refused are statements that begin or
/// end a transaction, since they would invalidate the guarantees about
/// outcomes; statements that change connection state, since the next user of
/// the connection would see it; and access to this project's own table and
/// functions.
[[nodiscard]] bool
MayCallerRun(const std::string& aSql);

} // namespace currantshed::group

#endif
