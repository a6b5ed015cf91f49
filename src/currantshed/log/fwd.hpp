#ifndef CURRANTSHED_LOG_FWD_HPP
#define CURRANTSHED_LOG_FWD_HPP

namespace currantshed::log {

enum class level;
struct field;
struct identity;

} // namespace currantshed::log

#endif
