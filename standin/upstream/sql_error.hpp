#ifndef CURRANTSHED_STANDIN_UPSTREAM_SQL_ERROR_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_SQL_ERROR_HPP

#include <optional>
#include <string>

#include <sqlite3.h>

#include "currantshed/position/log_position.hpp"

namespace currantshed::standin::postgres {

/// The error that a caller gets for a failed statement.
struct sql_error
{
  /// SQLSTATE code of five characters, from PostgreSQL's list of error codes.
  std::string state;
  std::string message;
};

/// Empty on success, otherwise the error of the statement.
using sql_outcome = std::optional<sql_error>;

/// Converts SQLite's last error to a PostgreSQL error.
[[nodiscard]] sql_error
LastError(sqlite3* aDatabase);

/// The error for a request that the server's term forbids.
[[nodiscard]] sql_error
StaleTerm(position::term_id aTerm);

/// The error for a change in a read-only transaction.
[[nodiscard]] sql_error
ReadOnly();

} // namespace currantshed::standin::postgres

#endif
