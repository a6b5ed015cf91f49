#ifndef CURRANTSHED_STANDIN_UPSTREAM_DATABASE_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_DATABASE_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <sqlite3.h>

#include "currantshed/upstream/statement.hpp"
#include "standin/upstream/prepared_statement.hpp"
#include "standin/upstream/sql_error.hpp"

namespace currantshed::standin::postgres {

using currantshed::upstream::statement;

/// One in-memory SQLite database with one connection. Refuses non-deterministic
/// functions, which would give a different result on replay; the time functions
/// return the time set by SetTime.
class database
{
public:
  database();
  database(const database&) = delete;
  database& operator=(const database&) = delete;
  ~database();

  /// Prepares a statement and returns its shape, valid until the next call.
  [[nodiscard]] sql_outcome Describe(const std::string& aSql,
                                     const statement_shape*& aShape);

  /// Runs a statement to its end and adds the number of changed rows to
  /// aAffected.
  [[nodiscard]] sql_outcome Run(const std::string& aSql,
                                const std::vector<cell>& aParameters,
                                row_sink aSink,
                                std::uint64_t& aAffected);

  void Begin();
  void Commit();
  void Rollback();
  [[nodiscard]] bool InTransaction() const noexcept;

  /// Replaces the contents by a copy of another database.
  void CopyFrom(database& aOther);

  void SetTime(std::uint64_t aUnixMs) noexcept;
  [[nodiscard]] std::uint64_t Time() const noexcept;

private:
  struct closer
  {
    void operator()(sqlite3* aHandle) const noexcept;
  };

  void Execute(const char* aSql);
  [[nodiscard]] sql_outcome Prepare(const std::string& aSql,
                                    prepared_statement*& aPrepared);
  static int Authorize(void* aSelf,
                       int aAction,
                       const char* aFirst,
                       const char* aSecond,
                       const char* aDatabase,
                       const char* aTrigger);

  std::unique_ptr<sqlite3, closer> mHandle;
  absl::flat_hash_map<std::string, std::unique_ptr<prepared_statement>> mCache;
  std::uint64_t mUnixMs = 0;
  bool mInternal = false;
};

} // namespace currantshed::standin::postgres

#endif
