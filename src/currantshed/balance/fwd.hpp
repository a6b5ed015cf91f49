#ifndef CURRANTSHED_BALANCE_FWD_HPP
#define CURRANTSHED_BALANCE_FWD_HPP

namespace currantshed::balance {

struct candidate;
struct choice;
struct group_health;
class outlier_detector;

} // namespace currantshed::balance

#endif
