#ifndef CURRANTSHED_CONFIRM_FWD_HPP
#define CURRANTSHED_CONFIRM_FWD_HPP

namespace currantshed::confirm {

class position_samples;
class status_tracker;
struct timestamped_status;
struct known_primary;
struct majority_term;

} // namespace currantshed::confirm

#endif
