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

/// The row at which a statement stands.
class row_view
{
public:
  explicit row_view(sqlite3_stmt* aStatement) noexcept;

  [[nodiscard]] int size() const noexcept;
  /// The value as text; none for NULL. Valid until the next row.
  [[nodiscard]] std::optional<std::string_view> Cell(int aColumn) const;

private:
  sqlite3_stmt* mStatement;
};

/// What is known of a statement before it runs.
struct statement_shape
{
  std::vector<std::string> columns;
  bool changesData = false;
  std::size_t parameters = 0;
};

/// Takes one row; false ends the statement with an error.
using row_sink = absl::FunctionRef<bool(const row_view&)>;

/// A statement that SQLite has prepared, to be run any number of times.
class prepared_statement
{
public:
  /// Prepares the statement; comes before all else.
  [[nodiscard]] sql_outcome Prepare(sqlite3* aDatabase,
                                    const std::string& aSql);

  [[nodiscard]] const statement_shape& Shape() const noexcept;

  /// Runs it to its end. Parameters go by their number: $2 is the second,
  /// wherever it stands.
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
  /// For each place of a parameter, its number.
  std::vector<std::size_t> mNumbers;
};

} // namespace currantshed::standin::postgres

#endif
