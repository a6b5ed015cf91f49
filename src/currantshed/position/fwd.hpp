#ifndef CURRANTSHED_POSITION_FWD_HPP
#define CURRANTSHED_POSITION_FWD_HPP

namespace currantshed::position {

struct log_position;

} // namespace currantshed::position

#endif
