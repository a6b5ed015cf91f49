#ifndef CURRANTSHED_PLATFORM_FWD_HPP
#define CURRANTSHED_PLATFORM_FWD_HPP

namespace currantshed::platform {

class applier;
class client;
class transport;
enum class apply_outcome;
enum class errc;
enum class swap_outcome;
struct apply_request;
struct apply_result;
struct entry;
struct http_answer;
struct http_request;
struct listing;
struct vm;

} // namespace currantshed::platform

#endif
