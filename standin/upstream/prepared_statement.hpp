#ifndef CURRANTSHED_STANDIN_UPSTREAM_PREPARED_STATEMENT_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_PREPARED_STATEMENT_HPP

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/functional/function_ref.h>
#include <sqlite3.h>

#include "currantshed/upstream/statement.hpp"
#include "standin/upstream/sql_error.hpp"

namespace currantshed::standin::postgres {

using currantshed::upstream::cell;

/// The current row of a statement.
class row_view
{
public:
  explicit row_view(sqlite3_stmt* aStatement) noexcept;

  [[nodiscard]] int size() const noexcept;
  /// The value as text; empty for NULL. Valid until the next row.
  [[nodiscard]] std::optional<std::string_view> Cell(int aColumn) const;

private:
  sqlite3_stmt* mStatement;
};

/// Properties of a statement that are known before it runs.
struct statement_shape
{
  std::vector<std::string> columns;
  bool changesData = false;
  std::size_t parameters = 0;
};

/// Receives one row; returning false aborts the statement with an error.
using row_sink = absl::FunctionRef<bool(const row_view&)>;

/// A statement prepared by SQLite, which can be run any number of times.
class prepared_statement
{
public:
  /// Prepares the statement; must be called before all other functions.
  [[nodiscard]] sql_outcome Prepare(sqlite3* aDatabase,
                                    const std::string& aSql);

  [[nodiscard]] const statement_shape& Shape() const noexcept;

  /// Runs the statement to its end. Parameters are bound by number: $2 is the
  /// second, wherever it occurs in the statement.
  [[nodiscard]] sql_outcome Run(const std::vector<cell>& aParameters,
                                row_sink aSink);

private:
  struct finalizer
  {
    void operator()(sqlite3_stmt* aStatement) const noexcept;
  };

  void Examine();
  [[nodiscard]] sql_outcome Bind(const std::vector<cell>& aParameters);
  [[nodiscard]] sql_outcome Step(row_sink aSink);

  std::unique_ptr<sqlite3_stmt, finalizer> mHandle;
  statement_shape mShape;
  /// The parameter number for each SQLite parameter index.
  std::vector<std::size_t> mNumbers;
};

} // namespace currantshed::standin::postgres

#endif
