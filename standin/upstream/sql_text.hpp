#ifndef CURRANTSHED_STANDIN_UPSTREAM_SQL_TEXT_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_SQL_TEXT_HPP

#include <string>
#include <string_view>
#include <vector>

namespace currantshed::standin::postgres {

/// Takes a text apart at its semicolons, leaving out those in quotes and
/// comments; empty statements are dropped.
[[nodiscard]] std::vector<std::string>
SplitStatements(std::string_view aText);

/// The first word of a statement in upper case; empty when there is none.
[[nodiscard]] std::string
FirstWord(std::string_view aSql);

/// Whether the statement has the words READ ONLY one after the other.
[[nodiscard]] bool
SaysReadOnly(std::string_view aSql);

} // namespace currantshed::standin::postgres

#endif
