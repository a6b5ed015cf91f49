#ifndef CURRANTSHED_UPSTREAM_PQ_HANDLE_HPP
#define CURRANTSHED_UPSTREAM_PQ_HANDLE_HPP

#include <memory>

#include <libpq-fe.h>

#include "currantshed/upstream/endpoint.hpp"
#include "currantshed/upstream/statement.hpp"

namespace currantshed::upstream {

struct pq_deleter
{
  void operator()(PGconn* aConnection) const noexcept { PQfinish(aConnection); }
};

using pq_handle = std::unique_ptr<PGconn, pq_deleter>;

/// Starts a non-blocking connection attempt. Sets every option that could
/// otherwise make libpq read files or resolve names, and so block.
[[nodiscard]] pq_handle
StartConnect(const endpoint& aEndpoint);

/// Whether libpq would send the complete statement; it truncates texts at their
/// first zero byte.
[[nodiscard]] bool
CanBeSent(const statement& aStatement);

/// Appends one statement to the pipeline; false if the connection is broken.
[[nodiscard]] bool
Send(PGconn* aConnection, const statement& aStatement);

} // namespace currantshed::upstream

#endif
