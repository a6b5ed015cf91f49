#ifndef CURRANTSHED_PROXY_FWD_HPP
#define CURRANTSHED_PROXY_FWD_HPP

namespace currantshed::proxy {

class caller;
class blocked_queues;
class connection;
class connection_shares;
class engine;
class link_listener;
class link_opener;
class server_set;
class session;
class upstream_link;
enum class failure_code;
enum class link_close_reason;
enum class read_policy;
enum class statement_kind;
enum class transaction_state;
struct answer;
struct command;
struct configuration;
struct failure;
struct request_attributes;
struct route;
struct server;
struct server_load;
struct service;
struct session_statement;

} // namespace currantshed::proxy

#endif
