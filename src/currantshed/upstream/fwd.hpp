#ifndef CURRANTSHED_UPSTREAM_FWD_HPP
#define CURRANTSHED_UPSTREAM_FWD_HPP

#include <string>

namespace currantshed::upstream {

/// Identifier of a database server, unique in its group, as given by the
/// platform.
using server_id = std::string;

enum class errc;
enum class server_role;
class dialect;
class pq_connection;
class pq_session;
struct reply;
struct result_set;
struct server_status;
struct statement;

} // namespace currantshed::upstream

#endif
