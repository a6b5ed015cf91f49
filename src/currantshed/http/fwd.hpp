#ifndef CURRANTSHED_HTTP_FWD_HPP
#define CURRANTSHED_HTTP_FWD_HPP

namespace currantshed::http {

struct fetched;
struct status_answer;
struct status_source;
class fetcher;
class status_server;

} // namespace currantshed::http

#endif
