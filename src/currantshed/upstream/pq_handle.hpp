#ifndef CURRANTSHED_UPSTREAM_PQ_HANDLE_HPP
#define CURRANTSHED_UPSTREAM_PQ_HANDLE_HPP

#include <memory>

#include <libpq-fe.h>

#include "currantshed/upstream/endpoint.hpp"
#include "currantshed/upstream/statement.hpp"

namespace currantshed::upstream {

/// Closes a connection of libpq.
struct pq_deleter
{
  void operator()(PGconn* aConnection) const noexcept { PQfinish(aConnection); }
};

using pq_handle = std::unique_ptr<PGconn, pq_deleter>;

/// Starts to connect. Whatever could make libpq read files or look up names
/// is set, so that it never blocks.
[[nodiscard]] pq_handle
StartConnect(const endpoint& aEndpoint);

/// Whether libpq, which takes texts up to their first zero byte, would send
/// the whole statement.
[[nodiscard]] bool
CanBeSent(const statement& aStatement);

/// Puts one statement in the pipeline; false when the connection is broken.
[[nodiscard]] bool
Send(PGconn* aConnection, const statement& aStatement);

} // namespace currantshed::upstream

#endif
