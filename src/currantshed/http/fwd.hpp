#ifndef CURRANTSHED_HTTP_FWD_HPP
#define CURRANTSHED_HTTP_FWD_HPP

namespace currantshed::http {

enum class call_failure;
enum class method;
struct call;
struct fetch_result;
struct call_result;
struct status_response;
struct status_source;
class channel;
class fetcher;
class status_server;

} // namespace currantshed::http

#endif
