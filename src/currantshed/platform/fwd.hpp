#ifndef CURRANTSHED_PLATFORM_FWD_HPP
#define CURRANTSHED_PLATFORM_FWD_HPP

namespace currantshed::platform {

class client;
class transport;
enum class errc;
enum class swap_outcome;
struct entry;
struct http_answer;
struct http_request;
struct listing;
struct vm;

} // namespace currantshed::platform

#endif
