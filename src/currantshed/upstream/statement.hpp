#ifndef CURRANTSHED_UPSTREAM_STATEMENT_HPP
#define CURRANTSHED_UPSTREAM_STATEMENT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "currantshed/upstream/fwd.hpp"

namespace currantshed::upstream {

/// One value as text; none stands for SQL's NULL.
using cell = std::optional<std::string>;

/// One SQL statement with its numbered parameters ($1, $2 and so on).
struct statement
{
  std::string sql;
  std::vector<cell> parameters;
};

/// The rows of one statement, row after row in one flat list.
struct result_set
{
  std::vector<std::string> columns;
  std::vector<cell> cells;
  /// Rows that the statement changed.
  std::uint64_t affected = 0;
};

/// How a batch of statements on one connection ended.
enum class batch_end
{
  /// Every statement ran; there is one result for each.
  kComplete,
  /// The server refused one statement; the results before it are kept.
  kServerError,
  /// The connection broke or a limit was passed before the last answer came:
  /// it isn't known which statements ran.
  kIndeterminate,
};

/// The whole answer to one batch.
struct reply
{
  batch_end end = batch_end::kComplete;
  std::vector<result_set> results;
  /// For a server error, the five characters of its SQLSTATE.
  std::string sqlState;
  /// For a person; holds no values of the statement.
  std::string message;
};

} // namespace currantshed::upstream

#endif
