#ifndef CURRANTSHED_STANDIN_UPSTREAM_SQL_ERROR_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_SQL_ERROR_HPP

#include <optional>
#include <string>

#include <sqlite3.h>

#include "currantshed/position/log_position.hpp"

namespace currantshed::standin::postgres {

/// What a caller is told about a statement that failed.
struct sql_error
{
  /// Five characters, as in PostgreSQL's list of error codes.
  std::string state;
  std::string message;
};

/// Nothing, or why a statement failed.
using sql_outcome = std::optional<sql_error>;

/// Turns SQLite's last error into one of PostgreSQL's.
[[nodiscard]] sql_error
LastError(sqlite3* aDatabase);

/// A refusal for the sake of the server's term.
[[nodiscard]] sql_error
StaleTerm(position::term_id aTerm);

/// A change where none is allowed.
[[nodiscard]] sql_error
ReadOnly();

} // namespace currantshed::standin::postgres

#endif
