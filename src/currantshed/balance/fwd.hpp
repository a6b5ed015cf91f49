#ifndef CURRANTSHED_BALANCE_FWD_HPP
#define CURRANTSHED_BALANCE_FWD_HPP

namespace currantshed::balance {

class outlier_detector;

} // namespace currantshed::balance

#endif
