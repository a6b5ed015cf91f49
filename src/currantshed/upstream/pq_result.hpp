#ifndef CURRANTSHED_UPSTREAM_PQ_RESULT_HPP
#define CURRANTSHED_UPSTREAM_PQ_RESULT_HPP

#include <cstddef>
#include <memory>
#include <string>

#include <libpq-fe.h>

#include "currantshed/upstream/statement.hpp"

namespace currantshed::upstream {

/// Frees a result of libpq.
struct pq_result_deleter
{
  void operator()(PGresult* aResult) const noexcept { PQclear(aResult); }
};

using pq_result = std::unique_ptr<PGresult, pq_result_deleter>;

/// The rows of one result, copied. Adds the bytes of its cells to the count.
[[nodiscard]] result_set
ReadRows(const PGresult* aResult, std::size_t& aBytes);

/// The SQLSTATE of a result that is an error; empty where there is none.
[[nodiscard]] std::string
ReadSqlState(const PGresult* aResult);

/// The server's text for an error, without values: what it quotes in a data
/// exception (SQLSTATE class 22) is a value of the statement and left out.
[[nodiscard]] std::string
ReadMessage(const PGresult* aResult);

} // namespace currantshed::upstream

#endif
