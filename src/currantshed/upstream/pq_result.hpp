#ifndef CURRANTSHED_UPSTREAM_PQ_RESULT_HPP
#define CURRANTSHED_UPSTREAM_PQ_RESULT_HPP

#include <cstddef>
#include <memory>
#include <string>

#include <libpq-fe.h>

#include "currantshed/upstream/statement.hpp"

namespace currantshed::upstream {

struct pq_result_deleter
{
  void operator()(PGresult* aResult) const noexcept { PQclear(aResult); }
};

using pq_result = std::unique_ptr<PGresult, pq_result_deleter>;

/// Copies the rows of one result and adds the bytes of its cells to aBytes.
[[nodiscard]] result_set
ReadRows(const PGresult* aResult, std::size_t& aBytes);

/// The SQLSTATE of an error result; empty for any other result.
[[nodiscard]] std::string
ReadSqlState(const PGresult* aResult);

/// The server's error message without statement values: the quoted part of a
/// data exception (SQLSTATE class 22) is a value and is replaced.
[[nodiscard]] std::string
ReadMessage(const PGresult* aResult);

} // namespace currantshed::upstream

#endif
