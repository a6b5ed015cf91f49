#ifndef CURRANTSHED_STANDIN_UPSTREAM_SQL_TEXT_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_SQL_TEXT_HPP

#include <string>
#include <string_view>
#include <vector>

namespace currantshed::standin::postgres {

/// Splits a text at its semicolons, except those in quotes and comments; empty
/// statements are dropped.
[[nodiscard]] std::vector<std::string>
SplitStatements(std::string_view aText);

/// The first word of a statement in upper case; empty if there is none.
[[nodiscard]] std::string
FirstWord(std::string_view aSql);

/// Whether the statement contains the words READ ONLY in sequence.
[[nodiscard]] bool
SaysReadOnly(std::string_view aSql);

} // namespace currantshed::standin::postgres

#endif
