#ifndef CURRANTSHED_UPSTREAM_FWD_HPP
#define CURRANTSHED_UPSTREAM_FWD_HPP

#include <string>

namespace currantshed::upstream {

/// Name of one database server, unique in its group, as the platform gives it.
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
