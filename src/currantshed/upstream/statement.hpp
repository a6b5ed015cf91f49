#ifndef CURRANTSHED_UPSTREAM_STATEMENT_HPP
#define CURRANTSHED_UPSTREAM_STATEMENT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "currantshed/upstream/fwd.hpp"

namespace currantshed::upstream {

/// One value as text; std::nullopt is SQL's NULL.
using cell = std::optional<std::string>;

/// One SQL statement with its numbered parameters ($1, $2 and so on).
struct statement
{
  std::string sql;
  std::vector<cell> parameters;
};

/// The rows of one statement, in row-major order.
struct result_set
{
  std::vector<std::string> columns;
  std::vector<cell> cells;
  /// Number of rows changed by the statement.
  std::uint64_t affected = 0;
};

/// How a batch of statements ended.
enum class batch_end
{
  /// Every statement succeeded; there is one result per statement.
  kComplete,
  /// The server rejected one statement; the results before it are kept.
  kServerError,
  /// The connection was lost or a limit exceeded before the last answer
  /// arrived: it is unknown which statements were executed.
  kIndeterminate,
};

/// The complete answer to one batch.
struct reply
{
  batch_end end = batch_end::kComplete;
  std::vector<result_set> results;
  /// SQLSTATE of a server error, five characters.
  std::string sqlState;
  /// Human-readable text without statement values.
  std::string message;
};

} // namespace currantshed::upstream

#endif
