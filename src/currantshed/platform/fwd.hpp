#ifndef CURRANTSHED_PLATFORM_FWD_HPP
#define CURRANTSHED_PLATFORM_FWD_HPP

namespace currantshed::platform {

class client;
enum class swap_outcome;
struct entry;
struct listing;

} // namespace currantshed::platform

#endif
